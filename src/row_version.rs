//! Versions of rows that only rise, also when the store is restored from an older copy.
//!
//! A restored store gives out the versions after its copy again, in a new era. A qualified
//! version holds the era in its upper bits and the store's own version below, so that versions of
//! all eras compare and a fencing token made of one never falls.

/// Bits of the store's own version.
const VERSION_BITS: u32 = 40;

/// Qualifies a version of the store by the era that it belongs to.
pub fn qualify(era: u64, version: u64) -> u64 {
    (era << VERSION_BITS) | plain(version)
}

/// The era of a qualified version.
pub fn era(version: u64) -> u64 {
    version >> VERSION_BITS
}

/// The store's own version without the era.
pub fn plain(version: u64) -> u64 {
    version & ((1 << VERSION_BITS) - 1)
}

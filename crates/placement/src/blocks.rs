//! Blocks of adjacent accelerators as bit masks over one rack.
//!
//! Bit `8 * position + accelerator` of a mask represents one accelerator of the rack. A block is an
//! aligned run of bits; a block of the next level consists of two adjacent blocks.

use model::prelude::*;

/// Bits at which blocks of each level start.
const STARTS: [u64; Level::ALL.len()] = [
    u64::MAX,
    0x5555_5555_5555_5555,
    0x1111_1111_1111_1111,
    0x0101_0101_0101_0101,
    0x0001_0001_0001_0001,
    0x0000_0001_0000_0001,
    1,
];

/// Number of blocks of each level.
pub(crate) type LevelCounts = [i64; Level::ALL.len()];

/// Returns the start bits of the blocks of `level` that `mask` contains entirely.
pub(crate) fn full_blocks(mask: u64, level: Level) -> u64 {
    let mut full = mask;
    for step in 0..level as u32 {
        full &= full >> (1 << step);
    }
    full & STARTS[level as usize]
}

/// Returns the number of blocks of each level that `mask` contains entirely.
pub(crate) fn count_blocks(mask: u64) -> LevelCounts {
    Level::ALL.map(|level| i64::from(full_blocks(mask, level).count_ones()))
}

/// Returns, for each level, whether `mask` contains a block that is not part of a larger block in
/// `mask`.
pub(crate) fn maximal_levels(mask: u64) -> [bool; Level::ALL.len()] {
    let mut has = [false; Level::ALL.len()];
    let mut parents = 0;
    for level in Level::ALL.into_iter().rev() {
        let full = full_blocks(mask, level);
        let in_parent = parents | parents << (level.accelerators() % u64::BITS);
        has[level as usize] = full & !in_parent != 0;
        parents = full;
    }
    has
}

/// Returns the mask of the block of `level` that starts at bit `start`.
pub(crate) fn block_mask(start: u32, level: Level) -> u64 {
    let len = level.accelerators();
    if len == u64::BITS {
        u64::MAX
    } else {
        ((1 << len) - 1) << start
    }
}

/// Returns the mask of the block of `level` that contains bit `bit`.
pub(crate) fn block_around(bit: u32, level: Level) -> u64 {
    let len = level.accelerators();
    block_mask(bit / len * len, level)
}

/// Returns the indices of the set bits of `mask`, lowest first.
pub(crate) fn bits(mask: u64) -> impl Iterator<Item = u32> {
    let mut rest = mask;
    std::iter::from_fn(move || {
        if rest == 0 {
            return None;
        }
        let bit = rest.trailing_zeros();
        rest &= rest - 1;
        Some(bit)
    })
}

/// Returns the lowest `count` set bits of `mask`.
pub(crate) fn lowest_bits(mask: u64, count: u32) -> u64 {
    bits(mask)
        .take(count as usize)
        .fold(0, |taken, bit| taken | 1 << bit)
}

/// Returns the start bits of the aligned windows of `level` in which `mask` has at least `need`
/// bits.
pub(crate) fn windows(mask: u64, level: Level, need: u32) -> u64 {
    if need == level.accelerators() {
        return full_blocks(mask, level);
    }
    bits(STARTS[level as usize])
        .filter(|&start| (mask & block_mask(start, level)).count_ones() >= need)
        .fold(0, |starts, start| starts | 1 << start)
}

/// Returns the level of the largest block around bit `bit` that `mask` contains entirely.
pub(crate) fn largest_around(mask: u64, bit: u32) -> Option<Level> {
    Level::ALL
        .into_iter()
        .take_while(|&level| {
            let block = block_around(bit, level);
            mask & block == block
        })
        .last()
}

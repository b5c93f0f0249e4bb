// Package buddy is a buddy allocator for the slots of one machine. A block of order k has
// 2^k slots and starts at a multiple of 2^k. A Map only stores which slots are used. The
// splitting and coalescing of blocks follow from that, so the free slots are always a
// disjoint union of aligned blocks.
package buddy

import "math/bits"

// Map records which slots of one machine are used.
type Map struct {
	used []bool
	free int
}

// New returns a map in which all slots are free.
func New(slots int) Map { return Map{used: make([]bool, slots), free: slots} }

// Free returns the number of free slots.
func (b *Map) Free() int { return b.free }

// Order returns the smallest k with 2^k >= n.
func Order(n int) int {
	if n <= 1 {
		return 0
	}
	return bits.Len(uint(n - 1))
}

// blockFree reports whether the map has the block and all its slots are free.
func (b *Map) blockFree(start, size int) bool {
	if start+size > len(b.used) {
		return false
	}
	for _, u := range b.used[start : start+size] {
		if u {
			return false
		}
	}
	return true
}

// FreeBlocks returns the number of free aligned blocks of order k.
func (b *Map) FreeBlocks(k int) int {
	count := 0
	for size, start := 1<<k, 0; start+size <= len(b.used); start += size {
		if b.blockFree(start, size) {
			count++
		}
	}
	return count
}

// Allocate marks n slots as used and returns them. They are the first slots of an aligned
// block of order Order(n), which is split off the smallest free block that contains one.
// If there is no such block, they are any free slots. If fewer than n slots are free, it
// returns all of these: slots only guide placement, the resources limit it.
func (b *Map) Allocate(n int) []int {
	k := Order(n)
	best, bestOrder := -1, 0
	for start := 0; start+1<<k <= len(b.used); start += 1 << k {
		if !b.blockFree(start, 1<<k) {
			continue
		}
		blockOrder := k // order of the largest free block that contains start
		for {
			size := 2 << blockOrder
			if !b.blockFree(start/size*size, size) {
				break
			}
			blockOrder++
		}
		if best < 0 || blockOrder < bestOrder {
			best, bestOrder = start, blockOrder
		}
	}
	var taken []int
	if best >= 0 {
		for i := best; i < best+n; i++ {
			taken = append(taken, i)
		}
	} else {
		for i := 0; i < len(b.used) && len(taken) < n; i++ {
			if !b.used[i] {
				taken = append(taken, i)
			}
		}
	}
	for _, i := range taken {
		b.used[i] = true
	}
	b.free -= len(taken)
	return taken
}

// Release marks slots as free.
func (b *Map) Release(slots []int) {
	for _, i := range slots {
		b.used[i] = false
	}
	b.free += len(slots)
}

package org.ragworthook.core.job;

/**
 * A set of 64-bit hashes in one array, 16 bytes for each at most. It tells repeated names
 * in files of 750,000 lines apart within bounded memory.
 */
final class LongHashSet {

	private static final int START = 1024;

	private long[] slots = new long[START];

	private int size;

	/**
	 * Adds a hash.
	 * @param hash the hash
	 * @return whether it was not in the set before
	 */
	boolean add(long hash) {
		long wanted = (hash != 0) ? hash : 1;
		int slot = slot(this.slots, wanted);
		if (this.slots[slot] == wanted) {
			return false;
		}
		this.slots[slot] = wanted;
		this.size++;
		if (this.size * 2 > this.slots.length) {
			grow();
		}
		return true;
	}

	private void grow() {
		long[] larger = new long[this.slots.length * 2];
		for (long hash : this.slots) {
			if (hash != 0) {
				larger[slot(larger, hash)] = hash;
			}
		}
		this.slots = larger;
	}

	private static int slot(long[] slots, long hash) {
		int mask = slots.length - 1;
		int slot = (int) (hash ^ (hash >>> 32)) & mask;
		while (slots[slot] != 0 && slots[slot] != hash) {
			slot = (slot + 1) & mask;
		}
		return slot;
	}

}

package org.ragworthook.core.job;

/**
 * A set of 64-bit hashes with open addressing, 16 to 32 bytes a hash. Detects duplicate
 * identifiers in files of 750,000 lines within bounded memory.
 */
final class LongHashSet {

	private static final int INITIAL_CAPACITY = 1024;

	private long[] slots = new long[INITIAL_CAPACITY];

	private int size;

	/**
	 * Adds a hash.
	 * @param hash the hash
	 * @return whether the set did not contain the hash
	 */
	boolean add(long hash) {
		long entry = (hash != 0) ? hash : 1;
		int slot = slot(this.slots, entry);
		if (this.slots[slot] == entry) {
			return false;
		}
		this.slots[slot] = entry;
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

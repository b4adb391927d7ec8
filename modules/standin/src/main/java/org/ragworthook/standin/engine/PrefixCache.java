package org.ragworthook.standin.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * The cache of prompt prefixes: blocks of text, each known by a hash over all text up to
 * its end, the least recently used given up first.
 */
final class PrefixCache {

	/** Characters in a block. */
	static final int BLOCK = 64;

	private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

	private final int limit;

	private final BiConsumer<Long, Boolean> changes;

	/**
	 * Creates an empty cache.
	 * @param limit how many blocks it holds
	 * @param changes told each block that comes (true) or goes (false)
	 */
	PrefixCache(int limit, BiConsumer<Long, Boolean> changes) {
		this.limit = limit;
		this.changes = changes;
	}

	/**
	 * Looks a prompt up and keeps it.
	 * @param prompt the text
	 * @return how many of its characters, from the start, were in the cache
	 */
	int enter(String prompt) {
		List<Long> hashes = hashes(prompt);
		int cached = 0;
		while (cached < hashes.size() && this.blocks.containsKey(hashes.get(cached))) {
			cached++;
		}
		hashes.forEach(this::add);
		return cached * BLOCK;
	}

	/**
	 * Adds a block.
	 * @param hash its hash
	 */
	void add(long hash) {
		if (this.blocks.put(hash, true) == null) {
			this.changes.accept(hash, true);
		}
		Iterator<Long> oldest = this.blocks.keySet().iterator();
		while (this.blocks.size() > this.limit) {
			long gone = oldest.next();
			oldest.remove();
			this.changes.accept(gone, false);
		}
	}

	/**
	 * Returns the blocks of a prompt that are in the cache.
	 * @param prompt the text
	 * @return the hashes of its cached blocks, from the start
	 */
	List<Long> cached(String prompt) {
		return hashes(prompt).stream().takeWhile(this.blocks::containsKey).toList();
	}

	int size() {
		return this.blocks.size();
	}

	void clear() {
		this.blocks.clear();
	}

	/**
	 * Returns the hashes of the full blocks of a text.
	 * @param text the text
	 * @return the FNV-1a hash over all characters up to the end of each block
	 */
	static List<Long> hashes(String text) {
		List<Long> hashes = new ArrayList<>();
		long hash = 0xcbf29ce484222325L;
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
			if ((i + 1) % BLOCK == 0) {
				hashes.add(hash);
			}
		}
		return hashes;
	}

}

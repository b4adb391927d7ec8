package org.ragworthook.core.routing;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.OptionalLong;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Computes keys of prompt prefixes for cache-aware routing. Requests whose prompts begin
 * with the same text get the same key and are routed to the same engine, which then has
 * the prefix in its cache.
 */
public final class PrefixKey {

	private static final int BLOCK_BYTES = 256;

	private static final int BLOCKS = 4;

	private PrefixKey() {
	}

	/**
	 * Returns the key of a prompt: the hash of its leading whole blocks, at most four of
	 * 256 bytes.
	 * @param model the model, since caches of different models share nothing
	 * @param prompt the prompt
	 * @return the key, or empty if the prompt is shorter than one block, where a cache
	 * hit would save too little
	 */
	public static OptionalLong of(String model, String prompt) {
		Objects.requireNonNull(model, "model is null");
		Objects.requireNonNull(prompt, "prompt is null");
		int end = Math.min(prompt.length(), BLOCK_BYTES * BLOCKS);
		byte[] head = prompt.substring(0, end).getBytes(StandardCharsets.UTF_8);
		int blocks = Math.min(BLOCKS, head.length / BLOCK_BYTES);
		if (blocks == 0) {
			return OptionalLong.empty();
		}
		long hash = MurmurHash3.hash128x64(head, 0, blocks * BLOCK_BYTES, 0)[0];
		return OptionalLong.of(Hashing.mix(hash, Hashing.of(model)));
	}

}

package org.ragworthook.gateway.upstream;

import java.util.Objects;

/**
 * A part of a prompt, which other prompts may share.
 *
 * @param id names the part
 * @param tokens its length, at least 0
 */
public record PromptSegment(String id, int tokens) {

	/**
	 * Checks the values.
	 * @throws IllegalArgumentException if the length is negative
	 */
	public PromptSegment {
		Objects.requireNonNull(id, "id is null");
		if (tokens < 0) {
			throw new IllegalArgumentException("a part of a prompt has " + tokens + " tokens");
		}
	}

}

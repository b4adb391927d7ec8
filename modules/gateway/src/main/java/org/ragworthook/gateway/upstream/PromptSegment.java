package org.ragworthook.gateway.upstream;

import java.util.Objects;

/**
 * A segment of a prompt, which other prompts may share.
 *
 * @param id identifies the segment's content
 * @param tokens its length in tokens, at least 0
 */
public record PromptSegment(String id, int tokens) {

	/**
	 * Checks the components.
	 * @throws IllegalArgumentException if the length is negative
	 */
	public PromptSegment {
		Objects.requireNonNull(id, "id is null");
		if (tokens < 0) {
			throw new IllegalArgumentException("segment " + id + " of a prompt has " + tokens + " tokens");
		}
	}

}

package org.ragworthook.gateway.dialect;

import java.util.List;

import org.ragworthook.gateway.upstream.PromptSegment;

/**
 * The format of the header that states the parts of a prompt.
 */
@FunctionalInterface
public interface PromptFormat {

	/**
	 * Parses the header.
	 * @param header the value of the header
	 * @return the parts in order; empty if the header is malformed, since the request is
	 * served all the same
	 */
	List<PromptSegment> parse(String header);

}

package org.ragworthook.gateway.dialect;

import java.util.List;

import org.ragworthook.gateway.upstream.PromptSegment;

/**
 * The format in which a request states the parts of its prompt.
 */
@FunctionalInterface
public interface PromptFormat {

	/**
	 * Reads the parts.
	 * @param header the value of the header
	 * @return the parts in order; none if they cannot be understood, since a request is
	 * served all the same
	 */
	List<PromptSegment> parts(String header);

}

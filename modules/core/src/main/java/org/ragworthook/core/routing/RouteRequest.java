package org.ragworthook.core.routing;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

/**
 * What a choice depends on.
 *
 * @param model the model that must be loaded, or the empty text for any
 * @param prefix the key of the prompt's beginning, if it has one
 * @param tried upstreams that are not to be chosen again
 */
public record RouteRequest(String model, OptionalLong prefix, Set<Upstream> tried) {

	/**
	 * Checks that all parts are there.
	 */
	public RouteRequest {
		Objects.requireNonNull(model, "model is null");
		Objects.requireNonNull(prefix, "prefix is null");
		Objects.requireNonNull(tried, "tried is null");
	}

	/**
	 * Returns a request for a model.
	 * @param model the model, or the empty text for any
	 * @param prefix the key of the prompt's beginning, if it has one
	 * @return the request
	 */
	public static RouteRequest of(String model, OptionalLong prefix) {
		return new RouteRequest(model, prefix, Set.of());
	}

	/**
	 * Returns the request without some upstreams.
	 * @param upstreams those already tried
	 * @return the request
	 */
	public RouteRequest without(Set<Upstream> upstreams) {
		return new RouteRequest(this.model, this.prefix, upstreams);
	}

}

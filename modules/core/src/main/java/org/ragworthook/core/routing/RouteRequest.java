package org.ragworthook.core.routing;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The properties of a request that affect the selection of its upstream.
 *
 * @param model the model that must be loaded, or an empty string for any
 * @param prefix the key of the prompt's prefix, if there is one
 * @param tried upstreams that were tried before and must not be selected again
 */
public record RouteRequest(String model, OptionalLong prefix, Set<Upstream> tried) {

	/**
	 * Checks that no component is null.
	 */
	public RouteRequest {
		Objects.requireNonNull(model, "model is null");
		Objects.requireNonNull(prefix, "prefix is null");
		Objects.requireNonNull(tried, "tried is null");
	}

	/**
	 * Returns a request for a model.
	 * @param model the model, or an empty string for any
	 * @param prefix the key of the prompt's prefix, if there is one
	 * @return the request
	 */
	public static RouteRequest of(String model, OptionalLong prefix) {
		return new RouteRequest(model, prefix, Set.of());
	}

	/**
	 * Returns a copy that excludes upstreams.
	 * @param upstreams the upstreams that were tried before
	 * @return the copy
	 */
	public RouteRequest without(Set<Upstream> upstreams) {
		return new RouteRequest(this.model, this.prefix, upstreams);
	}

}

package org.ragworthook.core.contract;

import java.util.List;
import java.util.Objects;

/**
 * A model that a service runs on its upstreams.
 *
 * @param name the name that requests use
 * @param version the version to serve
 * @param adapters the names of adapters of this model; a request may name an adapter in
 * place of a model
 * @param replicas the number of upstreams that load the model, and their spread
 */
public record Model(String name, String version, List<String> adapters, Replicas replicas) {

	/**
	 * Checks that no component is null and copies the adapters.
	 */
	public Model {
		Objects.requireNonNull(name, "name is null");
		Objects.requireNonNull(version, "version is null");
		adapters = List.copyOf(Objects.requireNonNull(adapters, "adapters is null"));
		Objects.requireNonNull(replicas, "replicas is null");
	}

	/**
	 * Returns the identifier under which upstreams report a loaded model.
	 * @return {@code name@version}
	 */
	public String id() {
		return this.name + "@" + this.version;
	}

}

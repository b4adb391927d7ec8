package org.ragworthook.core.contract;

import java.util.List;
import java.util.Objects;

/**
 * A model that a service needs on its upstreams.
 *
 * @param name the name by which callers ask for it
 * @param version the version that is to answer
 * @param adapters names of adapters on top of it; callers ask for one as for a model
 * @param replicas how many upstreams hold it
 */
public record Model(String name, String version, List<String> adapters, Replicas replicas) {

	/**
	 * Copies the adapters.
	 */
	public Model {
		Objects.requireNonNull(name, "name is null");
		Objects.requireNonNull(version, "version is null");
		adapters = List.copyOf(Objects.requireNonNull(adapters, "adapters is null"));
		Objects.requireNonNull(replicas, "replicas is null");
	}

	/**
	 * Returns name and version as one, as upstreams report what they hold.
	 * @return {@code name@version}
	 */
	public String id() {
		return this.name + "@" + this.version;
	}

}

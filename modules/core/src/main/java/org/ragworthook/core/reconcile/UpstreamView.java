package org.ragworthook.core.reconcile;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * An upstream as it was last observed. Late by seconds: an order may have changed it
 * since.
 *
 * @param id its sidecar's instance
 * @param service its service
 * @param failureDomain where it stands
 * @param loaded what it holds: models as {@code name@version}, adapters by name
 */
public record UpstreamView(String id, String service, String failureDomain, Set<String> loaded) {

	/**
	 * Copies what is loaded.
	 */
	public UpstreamView {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(service, "service is null");
		Objects.requireNonNull(failureDomain, "failureDomain is null");
		loaded = Set.copyOf(Objects.requireNonNull(loaded, "loaded is null"));
	}

	/**
	 * Returns the version of a model that is loaded.
	 * @param model the model's name
	 * @return the version, or empty if the upstream does not hold the model
	 */
	public Optional<String> version(String model) {
		String prefix = model + "@";
		return this.loaded.stream()
			.filter((held) -> held.startsWith(prefix))
			.map((held) -> held.substring(prefix.length()))
			.findFirst();
	}

	int models() {
		int models = 0;
		for (String held : this.loaded) {
			models += (held.indexOf('@') >= 0) ? 1 : 0;
		}
		return models;
	}

}

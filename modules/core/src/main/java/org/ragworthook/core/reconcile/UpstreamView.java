package org.ragworthook.core.reconcile;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The last observed state of an upstream. It may be seconds old; an order may have
 * changed the upstream since.
 *
 * @param id the instance id of the upstream's sidecar
 * @param service the name of the service
 * @param failureDomain the failure domain
 * @param loaded the loaded models as {@code name@version} and adapters by name
 */
public record UpstreamView(String id, String service, String failureDomain, Set<String> loaded) {

	/**
	 * Copies the set of loaded models and adapters.
	 */
	public UpstreamView {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(service, "service is null");
		Objects.requireNonNull(failureDomain, "failureDomain is null");
		loaded = Set.copyOf(Objects.requireNonNull(loaded, "loaded is null"));
	}

	/**
	 * Returns the loaded version of a model.
	 * @param model the name of the model
	 * @return the version, or empty if the model is not loaded
	 */
	public Optional<String> version(String model) {
		String prefix = model + "@";
		return this.loaded.stream()
			.filter((subject) -> subject.startsWith(prefix))
			.map((subject) -> subject.substring(prefix.length()))
			.findFirst();
	}

	int models() {
		int models = 0;
		for (String subject : this.loaded) {
			models += (subject.indexOf('@') >= 0) ? 1 : 0;
		}
		return models;
	}

}

package org.ragworthook.standin.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.ragworthook.core.contract.Contract;
import org.ragworthook.core.contract.KeyHash;
import org.ragworthook.core.contract.Service;
import org.ragworthook.core.contract.ServiceType;

/**
 * One of the example deployments with the keys of the demonstration.
 *
 * @param contract its text
 * @param onlineKey the key of an account for online requests
 * @param batchKey the key of an account for batch jobs
 * @param operatorKey the key of an operator
 */
public record Deployment(Contract contract, String onlineKey, String batchKey, String operatorKey) {

	private static final Map<String, List<String>> KEYS = Map.of("peachtree",
			List.of("peachtree-tablet-key", "peachtree-office-key", "peachtree-operator-key"), "fiestas",
			List.of("fiestas-agents-key", "fiestas-planners-key", "fiestas-operator-key"));

	/**
	 * Checks that all parts are there.
	 */
	public Deployment {
		Objects.requireNonNull(contract, "contract is null");
		Objects.requireNonNull(onlineKey, "onlineKey is null");
		Objects.requireNonNull(batchKey, "batchKey is null");
		Objects.requireNonNull(operatorKey, "operatorKey is null");
	}

	/**
	 * Reads a deployment.
	 * @param examples the folder of the example texts
	 * @param name {@code peachtree} or {@code fiestas}
	 * @return the deployment
	 * @throws IllegalStateException if there is none of that name
	 */
	public static Deployment read(Path examples, String name) {
		List<String> keys = KEYS.get(name);
		if (keys == null) {
			throw new IllegalStateException("no deployment '" + name + "'; choose one of " + KEYS.keySet());
		}
		try {
			Contract contract = Contract.parse(1, Files.readString(examples.resolve(name + ".json")));
			return new Deployment(contract, keys.get(0), keys.get(1), keys.get(2));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns the service whose upstreams are model engines.
	 * @return the model service
	 */
	public Service modelService() {
		return service(ServiceType.MODEL);
	}

	/**
	 * Returns the plain service, with calls that must not run twice.
	 * @return the plain service
	 */
	public Service plainService() {
		return service(ServiceType.PLAIN);
	}

	private Service service(ServiceType type) {
		return this.contract.services()
			.stream()
			.filter((service) -> service.type() == type)
			.findFirst()
			.orElseThrow(() -> new IllegalStateException("no service of type " + type));
	}

	/**
	 * Returns the model that callers ask for.
	 * @return its name
	 */
	public String model() {
		return modelService().models().get(0).name();
	}

	/**
	 * Returns the path of a call that must not run twice.
	 * @return the path at an entry
	 */
	public String bookingPath() {
		return "/services/" + plainService().name() + "/" + plainService().name();
	}

	/**
	 * Returns the only region.
	 * @return its name
	 */
	public String region() {
		return this.contract.regions().keySet().iterator().next();
	}

	/**
	 * Returns the region's failure domains.
	 * @return their names
	 */
	public List<String> failureDomains() {
		return this.contract.regions().get(region());
	}

	/**
	 * Returns the hash of the operator's key, as settings take it.
	 * @return the hash
	 */
	public String operatorKeyHash() {
		return KeyHash.of(this.operatorKey).text();
	}

}

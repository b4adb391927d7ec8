package org.ragworthook.standin.demo;

import java.util.Locale;
import java.util.Optional;

import io.vertx.core.json.JsonObject;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.fleet.Role;

/**
 * A daemon of the demonstration.
 *
 * @param name its name
 * @param role what it does
 * @param region where it stands
 * @param failureDomain where it stands
 * @param http where it serves HTTP
 * @param link where it takes links
 * @param service of a sidecar: the service of its upstream
 * @param upstream of a sidecar: where its upstream listens
 */
public record PlannedProcess(String name, Role role, String region, String failureDomain, Address http, Address link,
		String service, Optional<Address> upstream) {

	/**
	 * Returns the settings of the process.
	 * @param plan the whole demonstration
	 * @param operatorKeyHash the hash of the operator's key
	 * @return the content of its settings file
	 */
	JsonObject settings(DemoPlan plan, String operatorKeyHash) {
		JsonObject settings = new JsonObject().put("role", roleName())
			.put("instance", this.name)
			.put("region", this.region)
			.put("failureDomain", this.failureDomain)
			.put("http", this.http.toString())
			.put("link", this.link.toString())
			.put("platform",
					new JsonObject().put("objects", plan.objectApi().toString())
						.put("instances", plan.instanceList().toString()))
			.put("operatorKeys", new JsonObject().put("operations", operatorKeyHash))
			.put("limits", new JsonObject().put("drainMillis", 20_000));
		this.upstream.ifPresent((address) -> settings.put("upstream",
				new JsonObject().put("url", "http://" + address)
					.put("service", this.service)
					.put("policy", plan.policy())
					.put("maxLimit", plan.slots())));
		return settings;
	}

	/**
	 * Returns what the list of instances is told of the process.
	 * @param state {@code live}, {@code leaving} or {@code gone}
	 * @return the body of the control call
	 */
	JsonObject registration(String state) {
		return new JsonObject().put("id", this.name)
			.put("role", roleName())
			.put("service", this.service)
			.put("region", this.region)
			.put("failureDomain", this.failureDomain)
			.put("address", this.link.toString())
			.put("state", state);
	}

	private String roleName() {
		return this.role.name().toLowerCase(Locale.ROOT);
	}

}

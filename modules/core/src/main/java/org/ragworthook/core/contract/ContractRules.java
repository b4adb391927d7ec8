package org.ragworthook.core.contract;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks what concerns several places of a text at once: names that must exist,
 * dependencies that must not form a cycle, and replicas for which there must be room.
 */
final class ContractRules {

	private final Contract contract;

	private final Map<String, Place> places;

	private final Problems problems;

	private ContractRules(Contract contract, Map<String, Place> places, Problems problems) {
		this.contract = contract;
		this.places = places;
		this.problems = problems;
	}

	static void check(Contract contract, Map<String, Place> places, Problems problems) {
		ContractRules rules = new ContractRules(contract, places, problems);
		if (contract.services().isEmpty()) {
			problems.error(Place.START, "the text has no service", "add \"services\": [{...}]");
		}
		for (Service service : contract.services()) {
			rules.names(service);
			rules.kind(service);
			rules.capacity(service);
		}
		rules.cycles();
	}

	private void names(Service service) {
		Set<String> domains = new HashSet<>();
		this.contract.regions().values().forEach(domains::addAll);
		for (String domain : service.failureDomains()) {
			if (!domains.contains(domain)) {
				this.problems.error(place(service, "failure domain " + domain),
						"failure domain '" + domain + "' is in no region",
						"add it to a region or correct its spelling");
			}
		}
		for (String dependency : service.dependsOn()) {
			if (this.contract.service(dependency).isEmpty()) {
				this.problems.error(place(service, "dependency " + dependency),
						"service '" + dependency + "' does not exist",
						"add the service, remove the dependency or correct its spelling");
			}
		}
	}

	private void kind(Service service) {
		Place place = this.places.getOrDefault("service " + service.name(), Place.START);
		if (service.type() == ServiceType.MODEL && service.models().isEmpty()) {
			this.problems.error(place, "service '" + service.name() + "' has no model",
					"add \"models\": [{...}] or set \"type\": \"plain\"");
		}
		if (service.type() == ServiceType.PLAIN && !service.models().isEmpty()) {
			this.problems.error(place, "plain service '" + service.name() + "' lists models",
					"remove the models or set \"type\": \"model\"");
		}
		if (service.failureDomains().isEmpty()) {
			this.problems.error(place, "service '" + service.name() + "' stands in no failure domain",
					"add \"failureDomains\": [\"...\"]");
		}
	}

	private void capacity(Service service) {
		for (Model model : service.models()) {
			Replicas replicas = model.replicas();
			Place place = this.places.getOrDefault("model " + model.name() + " replicas", Place.START);
			if (replicas.min() > service.upstreams()) {
				this.problems.error(place,
						"model '" + model.name() + "' needs " + replicas.min() + " replicas, but service '"
								+ service.name() + "' has " + service.upstreams() + " upstreams",
						"lower replicas.min or raise upstreams");
			}
			int domains = service.failureDomains().size();
			if (replicas.failureDomains() > Math.min(domains, Math.max(1, replicas.min()))) {
				this.problems.error(place,
						"model '" + model.name() + "' cannot spread " + replicas.min() + " replicas over "
								+ replicas.failureDomains() + " of " + domains + " failure domains",
						"lower replicas.failureDomains, raise replicas.min or add failure domains to the service");
			}
		}
	}

	// -- cycles

	private void cycles() {
		Set<String> done = new HashSet<>();
		for (Service service : this.contract.services()) {
			visit(service, new ArrayDeque<>(), done);
		}
	}

	private void visit(Service service, Deque<String> path, Set<String> done) {
		if (done.contains(service.name())) {
			return;
		}
		path.addLast(service.name());
		for (String dependency : service.dependsOn()) {
			if (path.contains(dependency)) {
				cycle(service, dependency, List.copyOf(path));
			}
			else {
				this.contract.service(dependency).ifPresent((next) -> visit(next, path, done));
			}
		}
		path.removeLast();
		done.add(service.name());
	}

	private void cycle(Service service, String dependency, List<String> path) {
		List<String> members = path.subList(path.indexOf(dependency), path.size());
		this.problems.error(place(service, "dependency " + dependency),
				"services depend on each other in a cycle: " + String.join(" -> ", members) + " -> " + dependency,
				"remove one of these dependencies");
	}

	private Place place(Service service, String reference) {
		return this.places.getOrDefault("service " + service.name() + " " + reference, Place.START);
	}

}

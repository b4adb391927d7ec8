package org.ragworthook.core.contract;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the constraints that span several values of a contract: references must resolve,
 * dependencies must be acyclic, and replicas must fit the upstreams and failure domains
 * of their service.
 */
final class ContractRules {

	private final Contract contract;

	private final Map<String, SourcePosition> positions;

	private final ProblemCollector problems;

	private ContractRules(Contract contract, Map<String, SourcePosition> positions, ProblemCollector problems) {
		this.contract = contract;
		this.positions = positions;
		this.problems = problems;
	}

	static void check(Contract contract, Map<String, SourcePosition> positions, ProblemCollector problems) {
		ContractRules rules = new ContractRules(contract, positions, problems);
		if (contract.services().isEmpty()) {
			problems.error(SourcePosition.START, "the text has no service", "add \"services\": [{...}]");
		}
		for (Service service : contract.services()) {
			rules.checkReferences(service);
			rules.checkType(service);
			rules.checkReplicas(service);
		}
		rules.checkCycles();
	}

	private void checkReferences(Service service) {
		Set<String> domains = new HashSet<>();
		this.contract.regions().values().forEach(domains::addAll);
		for (String domain : service.failureDomains()) {
			if (!domains.contains(domain)) {
				this.problems.error(position(service, "failure domain " + domain),
						"failure domain '" + domain + "' is in no region",
						"add it to a region or correct its spelling");
			}
		}
		for (String dependency : service.dependsOn()) {
			if (this.contract.service(dependency).isEmpty()) {
				this.problems.error(position(service, "dependency " + dependency),
						"service '" + dependency + "' does not exist",
						"add the service, remove the dependency or correct its spelling");
			}
		}
	}

	private void checkType(Service service) {
		SourcePosition position = this.positions.getOrDefault("service " + service.name(), SourcePosition.START);
		if (service.type() == ServiceType.MODEL && service.models().isEmpty()) {
			this.problems.error(position, "service '" + service.name() + "' has no model",
					"add \"models\": [{...}] or set \"type\": \"plain\"");
		}
		if (service.type() == ServiceType.PLAIN && !service.models().isEmpty()) {
			this.problems.error(position, "plain service '" + service.name() + "' lists models",
					"remove the models or set \"type\": \"model\"");
		}
		if (service.failureDomains().isEmpty()) {
			this.problems.error(position, "service '" + service.name() + "' stands in no failure domain",
					"add \"failureDomains\": [\"...\"]");
		}
	}

	private void checkReplicas(Service service) {
		for (Model model : service.models()) {
			Replicas replicas = model.replicas();
			SourcePosition position = this.positions.getOrDefault("model " + model.name() + " replicas",
					SourcePosition.START);
			if (replicas.min() > service.upstreams()) {
				this.problems.error(position,
						"model '" + model.name() + "' needs " + replicas.min() + " replicas, but service '"
								+ service.name() + "' has " + service.upstreams() + " upstreams",
						"lower replicas.min or raise upstreams");
			}
			int domains = service.failureDomains().size();
			if (replicas.failureDomains() > Math.min(domains, Math.max(1, replicas.min()))) {
				this.problems.error(position,
						"model '" + model.name() + "' cannot spread " + replicas.min() + " replicas over "
								+ replicas.failureDomains() + " of " + domains + " failure domains",
						"lower replicas.failureDomains, raise replicas.min or add failure domains to the service");
			}
		}
	}

	// -- cycles

	private void checkCycles() {
		Set<String> visited = new HashSet<>();
		for (Service service : this.contract.services()) {
			visit(service, new ArrayDeque<>(), visited);
		}
	}

	private void visit(Service service, Deque<String> path, Set<String> visited) {
		if (visited.contains(service.name())) {
			return;
		}
		path.addLast(service.name());
		for (String dependency : service.dependsOn()) {
			if (path.contains(dependency)) {
				reportCycle(service, dependency, List.copyOf(path));
			}
			else {
				this.contract.service(dependency).ifPresent((next) -> visit(next, path, visited));
			}
		}
		path.removeLast();
		visited.add(service.name());
	}

	private void reportCycle(Service service, String dependency, List<String> path) {
		List<String> members = path.subList(path.indexOf(dependency), path.size());
		this.problems.error(position(service, "dependency " + dependency),
				"services depend on each other in a cycle: " + String.join(" -> ", members) + " -> " + dependency,
				"remove one of these dependencies");
	}

	private SourcePosition position(Service service, String reference) {
		return this.positions.getOrDefault("service " + service.name() + " " + reference, SourcePosition.START);
	}

}

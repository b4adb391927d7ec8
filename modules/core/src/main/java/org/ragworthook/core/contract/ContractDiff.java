package org.ragworthook.core.contract;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Describes, for operators, what changes when one contract replaces another.
 */
public final class ContractDiff {

	private final List<ContractChange> changes = new ArrayList<>();

	private ContractDiff() {
	}

	/**
	 * Returns the differences between two contracts.
	 * @param before the active contract, or empty if there is none
	 * @param after the contract that replaces it
	 * @return the changes; empty if the contracts differ only in comments and formatting
	 */
	public static List<ContractChange> between(Optional<Contract> before, Contract after) {
		Objects.requireNonNull(before, "before is null");
		Objects.requireNonNull(after, "after is null");
		ContractDiff diff = new ContractDiff();
		diff.services(before.map(Contract::services).orElse(List.of()), after.services());
		diff.accounts(before.map(Contract::accounts).orElse(List.of()), after.accounts());
		diff.operators(before.map(Contract::operators).orElse(List.of()), after.operators());
		before.ifPresent((active) -> diff.deployment(active, after));
		return List.copyOf(diff.changes);
	}

	private void add(ContractChange.Effect effect, String subject, String description) {
		this.changes.add(new ContractChange(effect, subject, description));
	}

	// -- services

	private void services(List<Service> before, List<Service> after) {
		Map<String, Service> previous = byName(before, Service::name);
		Map<String, Service> updated = byName(after, Service::name);
		previous.forEach((name, service) -> {
			if (!updated.containsKey(name)) {
				add(ContractChange.Effect.SERVICE, name, "service " + name + " is removed: its requests are refused");
				service.models().forEach((model) -> unload(service, model));
			}
		});
		updated.forEach((name, service) -> {
			Service existing = previous.get(name);
			if (existing == null) {
				add(ContractChange.Effect.SERVICE, name, "service " + name + " is added with " + service.upstreams()
						+ " upstreams in " + String.join(", ", service.failureDomains()));
				service.models().forEach((model) -> load(service, model));
			}
			else {
				service(existing, service);
			}
		});
	}

	private void service(Service before, Service after) {
		String name = after.name();
		if (!before.failureDomains().equals(after.failureDomains())) {
			add(ContractChange.Effect.MOVE, name, "service " + name + ": replicas move from "
					+ String.join(", ", before.failureDomains()) + " to " + String.join(", ", after.failureDomains()));
		}
		serviceChanged(name, "upstreams", before.upstreams(), after.upstreams());
		serviceChanged(name, "online deadline", before.onlineDeadline(), after.onlineDeadline());
		serviceChanged(name, "batch deadline", before.batchDeadline(), after.batchDeadline());
		serviceChanged(name, "dependencies", before.dependsOn(), after.dependsOn());
		serviceChanged(name, "type", before.type().label(), after.type().label());
		serviceChanged(name, "upstreams that check fencing", before.checksFencing(), after.checksFencing());
		serviceChanged(name, "calls that must not be repeated", calls(before), calls(after));
		models(before, after);
	}

	private static String calls(Service service) {
		return service.nonIdempotentCalls()
			.stream()
			.map((pattern) -> pattern.method() + " " + pattern.path())
			.collect(Collectors.joining(", ", "[", "]"));
	}

	private void serviceChanged(String service, String property, Object before, Object after) {
		if (!before.equals(after)) {
			add(ContractChange.Effect.SERVICE, service,
					"service " + service + ": " + property + " " + before + " -> " + after);
		}
	}

	private void models(Service before, Service after) {
		Map<String, Model> previous = byName(before.models(), Model::name);
		Map<String, Model> updated = byName(after.models(), Model::name);
		previous.forEach((name, model) -> {
			if (!updated.containsKey(name)) {
				unload(before, model);
			}
		});
		updated.forEach((name, model) -> {
			if (previous.containsKey(name)) {
				model(after, previous.get(name), model);
			}
			else {
				load(after, model);
			}
		});
	}

	private void load(Service service, Model model) {
		add(ContractChange.Effect.LOAD, model.name(),
				"load " + model.id() + " on " + model.replicas().min() + " to " + model.replicas().max()
						+ " upstreams of " + service.name() + ", over " + model.replicas().failureDomains()
						+ " failure domains");
		model.adapters().forEach((adapter) -> adapter(ContractChange.Effect.LOAD, "load", model, adapter));
	}

	private void unload(Service service, Model model) {
		add(ContractChange.Effect.UNLOAD, model.name(),
				"unload " + model.id() + " from every upstream of " + service.name());
	}

	private void model(Service service, Model before, Model after) {
		if (!before.version().equals(after.version())) {
			add(ContractChange.Effect.ROLL_OUT, after.name(), "roll out " + after.id() + " in place of " + before.id()
					+ " on the upstreams of " + service.name() + ", one after the other");
		}
		if (!before.replicas().equals(after.replicas())) {
			add(effect(before.replicas(), after.replicas()), after.name(), "model " + after.name() + ": replicas "
					+ format(before.replicas()) + " -> " + format(after.replicas()));
		}
		before.adapters()
			.stream()
			.filter((adapter) -> !after.adapters().contains(adapter))
			.forEach((adapter) -> adapter(ContractChange.Effect.UNLOAD, "unload", after, adapter));
		after.adapters()
			.stream()
			.filter((adapter) -> !before.adapters().contains(adapter))
			.forEach((adapter) -> adapter(ContractChange.Effect.LOAD, "load", after, adapter));
	}

	private void adapter(ContractChange.Effect effect, String verb, Model model, String adapter) {
		add(effect, adapter, verb + " adapter " + adapter + " of " + model.name());
	}

	private static ContractChange.Effect effect(Replicas before, Replicas after) {
		if (before.min() != after.min()) {
			return (after.min() > before.min()) ? ContractChange.Effect.LOAD : ContractChange.Effect.UNLOAD;
		}
		return ContractChange.Effect.MOVE;
	}

	private static String format(Replicas replicas) {
		return replicas.min() + " to " + replicas.max() + " over " + replicas.failureDomains();
	}

	// -- accounts and operators

	private void accounts(List<Account> before, List<Account> after) {
		Map<String, Account> previous = byName(before, Account::name);
		Map<String, Account> updated = byName(after, Account::name);
		previous.keySet()
			.stream()
			.filter((name) -> !updated.containsKey(name))
			.forEach((name) -> add(ContractChange.Effect.ACCOUNT, name,
					"account " + name + " is removed: its keys open nothing and nobody reads its results"));
		updated.forEach((name, account) -> {
			Account existing = previous.get(name);
			if (existing == null) {
				add(ContractChange.Effect.ACCOUNT, name,
						"account " + name + " is added with weight " + account.weight());
			}
			else {
				account(existing, account);
			}
		});
	}

	private void account(Account before, Account after) {
		if (!before.keys().equals(after.keys())) {
			add(ContractChange.Effect.ACCOUNT, after.name(),
					"account " + after.name() + ": " + keys(before.keys(), after.keys()));
		}
		accountChanged(after, "weight", before.weight(), after.weight());
		accountChanged(after, "default class", before.defaultClass().label(), after.defaultClass().label());
		accountChanged(after, "limits", format(before.limits()), format(after.limits()));
	}

	private void accountChanged(Account account, String property, Object before, Object after) {
		if (!before.equals(after)) {
			add(ContractChange.Effect.ACCOUNT, account.name(),
					"account " + account.name() + ": " + property + " " + before + " -> " + after);
		}
	}

	private static String format(Limits limits) {
		return "[" + format(limits.requestsPerSecond()) + " requests/s, " + format(limits.inFlight()) + " in flight, "
				+ format(limits.tokensPerSecond()) + " tokens/s]";
	}

	private static String format(int limit) {
		return (limit > 0) ? Integer.toString(limit) : "any";
	}

	private static String keys(List<KeyHash> before, List<KeyHash> after) {
		long added = after.stream().filter((key) -> !before.contains(key)).count();
		long removed = before.stream().filter((key) -> !after.contains(key)).count();
		return "keys: " + added + " added, " + removed + " removed";
	}

	private void operators(List<Operator> before, List<Operator> after) {
		Map<String, Operator> previous = byName(before, Operator::name);
		Map<String, Operator> updated = byName(after, Operator::name);
		previous.keySet()
			.stream()
			.filter((name) -> !updated.containsKey(name))
			.forEach((name) -> add(ContractChange.Effect.OPERATOR, name,
					"operator " + name + " may no longer change the text"));
		updated.forEach((name, operator) -> {
			Operator existing = previous.get(name);
			if (existing == null) {
				add(ContractChange.Effect.OPERATOR, name, "operator " + name + " may change the text");
			}
			else if (!existing.keys().equals(operator.keys())) {
				add(ContractChange.Effect.OPERATOR, name,
						"operator " + name + ": " + keys(existing.keys(), operator.keys()));
			}
		});
	}

	// -- deployment-wide settings

	private void deployment(Contract before, Contract after) {
		deploymentChanged("deployment name", before.name(), after.name());
		deploymentChanged("regions", before.regions(), after.regions());
		deploymentChanged("retention of results", before.retention().results(), after.retention().results());
		deploymentChanged("changes kept", before.retention().changes(), after.retention().changes());
		deploymentChanged("weight store loads a minute", before.weightStore().loadsPerMinute(),
				after.weightStore().loadsPerMinute());
		deploymentChanged("weight store loads at once", before.weightStore().concurrentLoads(),
				after.weightStore().concurrentLoads());
	}

	private void deploymentChanged(String property, Object before, Object after) {
		if (!before.equals(after)) {
			add(ContractChange.Effect.OTHER, property, property + " " + before + " -> " + after);
		}
	}

	private static <T> Map<String, T> byName(List<T> values, Function<T, String> name) {
		Map<String, T> byName = new LinkedHashMap<>();
		values.forEach((value) -> byName.put(name.apply(value), value));
		return byName;
	}

}

package org.ragworthook.core.contract;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads the schema of the operators' text: which keys there are, and of which type and
 * range. What concerns several places at once is left to {@link ContractRules}.
 */
final class ContractReader {

	private static final int MILLION = 1_000_000;

	private final Problems problems;

	private final Map<String, Place> places = new LinkedHashMap<>();

	private ContractReader(Problems problems) {
		this.problems = problems;
	}

	static Optional<Contract> read(long version, String text, Problems problems) {
		return NodeReader.read(text, problems)
			.map((root) -> new ContractReader(problems).contract(version, text, root));
	}

	static Service service(Node node, Problems problems) {
		return new ContractReader(problems).service(Fields.of(node, "a service", problems));
	}

	private Contract contract(long version, String text, Node root) {
		Fields fields = Fields.of(root, "the text", this.problems);
		Contract.Builder builder = Contract.builder(version, text).name(fields.name("name"));
		builder.regions(regions(fields));
		List<Fields> sections = fields.objects("services", "a service");
		sections.forEach((section) -> {
			Service service = service(section);
			unique("service", service.name(), section.place("name"));
			builder.service(service, NodeWriter.write(section.node()));
		});
		fields.objects("accounts", "an account").forEach((section) -> builder.account(account(section)));
		fields.objects("operators", "an operator").forEach((section) -> builder.operator(operator(section)));
		fields.object("retention").ifPresent((section) -> builder.retention(retention(section)));
		fields.object("weightStore").ifPresent((section) -> builder.weightStore(weightStore(section)));
		fields.end();
		Contract contract = builder.build();
		ContractRules.check(contract, this.places, this.problems);
		return contract;
	}

	private Map<String, List<String>> regions(Fields fields) {
		Map<String, List<String>> regions = new LinkedHashMap<>();
		fields.objects("regions", "a region").forEach((section) -> {
			String name = section.name("name");
			unique("region", name, section.place("name"));
			List<String> domains = new ArrayList<>();
			section.strings("failureDomains").forEach((domain) -> {
				unique("failure domain", domain.text(), domain.place());
				domains.add(domain.text());
			});
			section.end();
			regions.put(name, domains);
		});
		return regions;
	}

	private Service service(Fields fields) {
		String name = fields.name("name");
		Service.Builder builder = Service.builder(name, fields.choice("type", ServiceType.values(), ServiceType.MODEL));
		String owner = "service " + name;
		builder.failureDomains(references(owner, "failure domain", fields.strings("failureDomains")));
		builder.dependsOn(references(owner, "dependency", fields.strings("dependsOn")));
		builder.upstreams(fields.number("upstreams", 1, MILLION, 1));
		this.places.put(owner + " upstreams", fields.place("upstreams"));
		builder.deadlines(Duration.ofSeconds(fields.number("onlineDeadlineSeconds", 1, 3600, 30)),
				Duration.ofHours(fields.number("batchDeadlineHours", 1, 720, 24)));
		builder.checksFencing(fields.flag("checksFencing", false));
		builder.models(fields.objects("models", "a model").stream().map(this::model).toList());
		builder.nonIdempotentCalls(fields.objects("nonIdempotentCalls", "a call").stream().map(this::call).toList());
		fields.end();
		return builder.build();
	}

	private List<String> references(String owner, String noun, List<Node.Scalar> names) {
		names.forEach((name) -> this.places.putIfAbsent(owner + " " + noun + " " + name.text(), name.place()));
		return names.stream().map(Node.Scalar::text).toList();
	}

	private Model model(Fields fields) {
		String name = fields.name("name");
		unique("model", name, fields.place("name"));
		List<Node.Scalar> adapters = fields.strings("adapters");
		adapters.forEach((adapter) -> unique("model", adapter.text(), adapter.place()));
		String version = fields.name("version");
		Replicas replicas = fields.object("replicas").map(this::replicas).orElseGet(() -> new Replicas(1, MILLION, 1));
		this.places.put("model " + name + " replicas", fields.place("replicas"));
		fields.end();
		return new Model(name, version, adapters.stream().map(Node.Scalar::text).toList(), replicas);
	}

	private Replicas replicas(Fields fields) {
		int min = fields.number("min", 0, MILLION, 1);
		int max = fields.number("max", 1, MILLION, Math.max(1, min));
		int spread = fields.number("failureDomains", 1, 1000, 1);
		if (max < min) {
			this.problems.error(fields.place("max"), "max " + max + " is below min " + min, "raise max or lower min");
		}
		fields.end();
		return new Replicas(min, Math.max(min, max), spread);
	}

	private CallRule call(Fields fields) {
		String method = fields.string("method", "POST");
		String path = fields.string("path", "");
		if (!path.startsWith("/")) {
			this.problems.error(fields.place("path"), "path '" + path + "' does not begin with a slash",
					"write the path as callers use it, such as \"/bookings\"");
		}
		fields.end();
		return new CallRule(method, path);
	}

	private Account account(Fields fields) {
		String name = fields.name("name");
		unique("account", name, fields.place("name"));
		List<KeyHash> keys = keys(fields);
		int weight = fields.number("weight", 1, 1000, 1);
		RequestClass defaultClass = fields.choice("defaultClass", RequestClass.values(), RequestClass.ONLINE);
		Limits limits = fields.object("limits").map(this::limits).orElse(Limits.none());
		fields.end();
		return new Account(name, keys, weight, limits, defaultClass);
	}

	private Limits limits(Fields fields) {
		Limits limits = new Limits(fields.number("requestsPerSecond", 1, MILLION, 0),
				fields.number("inFlight", 1, MILLION, 0), fields.number("tokensPerSecond", 1, 1000 * MILLION, 0));
		fields.end();
		return limits;
	}

	private Operator operator(Fields fields) {
		String name = fields.name("name");
		unique("operator", name, fields.place("name"));
		List<KeyHash> keys = keys(fields);
		fields.end();
		return new Operator(name, keys);
	}

	private List<KeyHash> keys(Fields fields) {
		List<KeyHash> keys = new ArrayList<>();
		for (Node.Scalar key : fields.strings("keys")) {
			if (KeyHash.isValid(key.text())) {
				unique("key", key.text(), key.place());
				keys.add(new KeyHash(key.text()));
			}
			else {
				this.problems.error(key.place(), "a key is not in the form sha256:HASH",
						"write the hash that printf %s KEY | sha256sum gives, never the key itself");
			}
		}
		if (keys.isEmpty()) {
			this.problems.warning(fields.place(), "no valid key: nobody can call under this name",
					"add \"keys\": [\"sha256:...\"]");
		}
		return keys;
	}

	private Retention retention(Fields fields) {
		Retention retention = new Retention(Duration.ofDays(fields.number("resultsDays", 1, 3650, 30)),
				fields.number("changes", 1, MILLION, 1000));
		fields.end();
		return retention;
	}

	private WeightStore weightStore(Fields fields) {
		WeightStore weightStore = new WeightStore(fields.number("loadsPerMinute", 1, MILLION, 60),
				fields.number("concurrentLoads", 1, MILLION, 4));
		fields.end();
		return weightStore;
	}

	private void unique(String noun, String name, Place place) {
		Place earlier = this.places.putIfAbsent(noun + " " + name, place);
		if (earlier != null && !name.isEmpty()) {
			this.problems.error(place, noun + " '" + name + "' stands at line " + earlier.line() + " already",
					"give each " + noun + " a name of its own");
		}
	}

}

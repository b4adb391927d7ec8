package org.ragworthook.core.contract;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Converts the JSON tree of a contract into a {@link Contract} and checks each value
 * against the schema: known keys, types and ranges. {@link ContractRules} checks the
 * constraints that span several values.
 */
final class ContractReader {

	private static final int MILLION = 1_000_000;

	private final ProblemCollector problems;

	private final Map<String, SourcePosition> positions = new LinkedHashMap<>();

	private ContractReader(ProblemCollector problems) {
		this.problems = problems;
	}

	static Optional<Contract> read(long version, String text, ProblemCollector problems) {
		return NodeReader.read(text, problems)
			.map((root) -> new ContractReader(problems).contract(version, text, root));
	}

	static Service service(Node node, ProblemCollector problems) {
		return new ContractReader(problems).service(ObjectFields.of(node, "a service", problems));
	}

	private Contract contract(long version, String text, Node root) {
		ObjectFields fields = ObjectFields.of(root, "the text", this.problems);
		Contract.Builder builder = Contract.builder(version, text).name(fields.name("name"));
		builder.regions(regions(fields));
		List<ObjectFields> sections = fields.objects("services", "a service");
		sections.forEach((section) -> {
			Service service = service(section);
			checkUnique("service", service.name(), section.position("name"));
			builder.service(service, NodeWriter.write(section.node()));
		});
		fields.objects("accounts", "an account").forEach((section) -> builder.account(account(section)));
		fields.objects("operators", "an operator").forEach((section) -> builder.operator(operator(section)));
		fields.object("retention").ifPresent((section) -> builder.retention(retention(section)));
		fields.object("weightStore").ifPresent((section) -> builder.weightStore(weightStore(section)));
		fields.reportUnknownKeys();
		Contract contract = builder.build();
		ContractRules.check(contract, this.positions, this.problems);
		return contract;
	}

	private Map<String, List<String>> regions(ObjectFields fields) {
		Map<String, List<String>> regions = new LinkedHashMap<>();
		fields.objects("regions", "a region").forEach((section) -> {
			String name = section.name("name");
			checkUnique("region", name, section.position("name"));
			List<String> domains = new ArrayList<>();
			section.strings("failureDomains").forEach((domain) -> {
				checkUnique("failure domain", domain.text(), domain.position());
				domains.add(domain.text());
			});
			section.reportUnknownKeys();
			regions.put(name, domains);
		});
		return regions;
	}

	private Service service(ObjectFields fields) {
		String name = fields.name("name");
		Service.Builder builder = Service.builder(name,
				fields.enumValue("type", ServiceType.values(), ServiceType.MODEL));
		String owner = "service " + name;
		builder.failureDomains(references(owner, "failure domain", fields.strings("failureDomains")));
		builder.dependsOn(references(owner, "dependency", fields.strings("dependsOn")));
		builder.upstreams(fields.number("upstreams", 1, MILLION, 1));
		this.positions.put(owner + " upstreams", fields.position("upstreams"));
		builder.deadlines(Duration.ofSeconds(fields.number("onlineDeadlineSeconds", 1, 3600, 30)),
				Duration.ofHours(fields.number("batchDeadlineHours", 1, 720, 24)));
		builder.checksFencing(fields.bool("checksFencing", false));
		builder.models(fields.objects("models", "a model").stream().map(this::model).toList());
		builder.nonIdempotentCalls(
				fields.objects("nonIdempotentCalls", "a call").stream().map(this::callPattern).toList());
		fields.reportUnknownKeys();
		return builder.build();
	}

	private List<String> references(String owner, String noun, List<Node.Scalar> names) {
		names.forEach((name) -> this.positions.putIfAbsent(owner + " " + noun + " " + name.text(), name.position()));
		return names.stream().map(Node.Scalar::text).toList();
	}

	private Model model(ObjectFields fields) {
		String name = fields.name("name");
		checkUnique("model", name, fields.position("name"));
		List<Node.Scalar> adapters = fields.strings("adapters");
		adapters.forEach((adapter) -> checkUnique("model", adapter.text(), adapter.position()));
		String version = fields.name("version");
		Replicas replicas = fields.object("replicas").map(this::replicas).orElseGet(() -> new Replicas(1, MILLION, 1));
		this.positions.put("model " + name + " replicas", fields.position("replicas"));
		fields.reportUnknownKeys();
		return new Model(name, version, adapters.stream().map(Node.Scalar::text).toList(), replicas);
	}

	private Replicas replicas(ObjectFields fields) {
		int min = fields.number("min", 0, MILLION, 1);
		int max = fields.number("max", 1, MILLION, Math.max(1, min));
		int spread = fields.number("failureDomains", 1, 1000, 1);
		if (max < min) {
			this.problems.error(fields.position("max"), "max " + max + " is below min " + min,
					"raise max or lower min");
		}
		fields.reportUnknownKeys();
		return new Replicas(min, Math.max(min, max), spread);
	}

	private CallPattern callPattern(ObjectFields fields) {
		String method = fields.string("method", "POST");
		String path = fields.string("path", "");
		if (!path.startsWith("/")) {
			this.problems.error(fields.position("path"), "path '" + path + "' does not begin with a slash",
					"write the path as callers use it, such as \"/bookings\"");
		}
		fields.reportUnknownKeys();
		return new CallPattern(method, path);
	}

	private Account account(ObjectFields fields) {
		String name = fields.name("name");
		checkUnique("account", name, fields.position("name"));
		List<KeyHash> keys = keys(fields);
		int weight = fields.number("weight", 1, 1000, 1);
		RequestClass defaultClass = fields.enumValue("defaultClass", RequestClass.values(), RequestClass.ONLINE);
		Limits limits = fields.object("limits").map(this::limits).orElse(Limits.none());
		fields.reportUnknownKeys();
		return new Account(name, keys, weight, limits, defaultClass);
	}

	private Limits limits(ObjectFields fields) {
		Limits limits = new Limits(fields.number("requestsPerSecond", 1, MILLION, 0),
				fields.number("inFlight", 1, MILLION, 0), fields.number("tokensPerSecond", 1, 1000 * MILLION, 0));
		fields.reportUnknownKeys();
		return limits;
	}

	private Operator operator(ObjectFields fields) {
		String name = fields.name("name");
		checkUnique("operator", name, fields.position("name"));
		List<KeyHash> keys = keys(fields);
		fields.reportUnknownKeys();
		return new Operator(name, keys);
	}

	private List<KeyHash> keys(ObjectFields fields) {
		List<KeyHash> keys = new ArrayList<>();
		for (Node.Scalar key : fields.strings("keys")) {
			if (KeyHash.isValid(key.text())) {
				checkUnique("key", key.text(), key.position());
				keys.add(new KeyHash(key.text()));
			}
			else {
				this.problems.error(key.position(), "a key is not in the form sha256:HASH",
						"write the hash that printf %s KEY | sha256sum gives, never the key itself");
			}
		}
		if (keys.isEmpty()) {
			this.problems.warning(fields.position(), "no valid key: nobody can call under this name",
					"add \"keys\": [\"sha256:...\"]");
		}
		return keys;
	}

	private Retention retention(ObjectFields fields) {
		Retention retention = new Retention(Duration.ofDays(fields.number("resultsDays", 1, 3650, 30)),
				fields.number("changes", 1, MILLION, 1000));
		fields.reportUnknownKeys();
		return retention;
	}

	private WeightStore weightStore(ObjectFields fields) {
		WeightStore weightStore = new WeightStore(fields.number("loadsPerMinute", 1, MILLION, 60),
				fields.number("concurrentLoads", 1, MILLION, 4));
		fields.reportUnknownKeys();
		return weightStore;
	}

	private void checkUnique(String noun, String name, SourcePosition position) {
		SourcePosition earlier = this.positions.putIfAbsent(noun + " " + name, position);
		if (earlier != null && !name.isEmpty()) {
			this.problems.error(position, noun + " '" + name + "' stands at line " + earlier.line() + " already",
					"give each " + noun + " a name of its own");
		}
	}

}

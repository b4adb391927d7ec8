package org.ragworthook.daemon.control;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vertx.core.Context;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.ragworthook.core.contract.ActiveContract;
import org.ragworthook.core.contract.Contract;
import org.ragworthook.core.contract.ContractChange;
import org.ragworthook.core.contract.ContractDiff;
import org.ragworthook.core.contract.ContractRepository;
import org.ragworthook.core.contract.OpenJobCounts;
import org.ragworthook.core.contract.Proposal;
import org.ragworthook.core.contract.Revision;
import org.ragworthook.core.error.ConfigException;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.daemon.http.ErrorResponses;
import org.ragworthook.wire.message.ProcessVersion;

/**
 * The operators' interface, {@code /admin/v1}.
 */
final class AdminRoutes {

	private static final EventLog LOG = EventLog.of(AdminRoutes.class);

	private static final String CONTRACT = "/admin/v1/contract";

	private static final int TEXT_BYTES = 8 << 20;

	private static final Pattern VERSION = Pattern.compile("\"?(\\d{1,18})\"?");

	private final ContractRepository register;

	private final ActiveContract inForce;

	private final OperatorAccess access;

	private final FleetStatus status;

	private final Drains drains;

	private final OpenJobs openJobs;

	private final Executor work;

	private final ErrorResponses errors;

	AdminRoutes(ControlPart.Parts parts, Executor work) {
		this.register = parts.register();
		this.inForce = parts.inForce();
		this.access = parts.access();
		this.status = parts.status();
		this.drains = parts.drains();
		this.openJobs = parts.openJobs();
		this.errors = parts.errors();
		this.work = Objects.requireNonNull(work, "work is null");
	}

	void mount(Router router) {
		BodyHandler body = BodyHandler.create(false).setBodyLimit(TEXT_BYTES);
		router.get(CONTRACT).handler((routing) -> answer(routing, (operator) -> contract(routing)));
		router.put(CONTRACT)
			.handler(body)
			.handler((routing) -> answer(routing, (operator) -> apply(routing, operator)));
		router.post("/admin/v1/diff").handler(body).handler((routing) -> answer(routing, (operator) -> diff(routing)));
		router.get("/admin/v1/history").handler((routing) -> answer(routing, (operator) -> history()));
		router.get("/admin/v1/status").handler((routing) -> answer(routing, (operator) -> status()));
		router.post("/admin/v1/drain/:instance").handler((routing) -> answer(routing, (operator) -> drain(routing)));
	}

	private void answer(RoutingContext routing, Function<String, CompletableFuture<JsonObject>> call) {
		String operator = this.access.operator(routing.request());
		Context context = routing.vertx().getOrCreateContext();
		call.apply(operator).whenComplete((body, failure) -> context.runOnContext((ignored) -> {
			if (failure != null) {
				this.errors.write(routing, failure);
			}
			else {
				routing.response().putHeader("Content-Type", "application/json").end(body.encode());
			}
		}));
	}

	// -- the text

	private CompletableFuture<JsonObject> contract(RoutingContext routing) {
		String wanted = routing.request().getParam("version");
		CompletableFuture<Optional<Revision>> found = (wanted != null) ? this.register.revision(version(wanted))
				: newest();
		return found.thenApply((revision) -> revision.map((present) -> json(present).put("text", present.text()))
			.orElseThrow(() -> new ConfigException(ErrorCode.CONFIG_ABSENT,
					(wanted != null) ? "version " + wanted + " is not kept" : "no text was accepted yet")));
	}

	// While the platform is out, operators still see what is in force.
	private CompletableFuture<Optional<Revision>> newest() {
		return this.register.newest()
			.exceptionally((failure) -> this.inForce.revision())
			.thenApply((stored) -> stored.or(this.inForce::revision));
	}

	private static JsonObject json(Revision revision) {
		return new JsonObject().put("version", revision.version())
			.put("author", revision.author())
			.put("reason", revision.reason())
			.put("accepted", revision.acceptedAt().toString());
	}

	private CompletableFuture<JsonObject> apply(RoutingContext routing, String operator) {
		String match = Optional.ofNullable(routing.request().getHeader("If-Match")).orElse("0");
		String reason = Optional.ofNullable(routing.request().getParam("reason")).orElse("");
		boolean strand = Boolean.parseBoolean(routing.request().getParam("strand"));
		Proposal proposal = new Proposal(text(routing), version(match), operator, reason, strand);
		Optional<Contract> before = this.inForce.contract();
		return openWork(proposal.text())
			.thenComposeAsync((open) -> this.register.accept(proposal, this.inForce.version(), open), this.work)
			.thenApplyAsync((accepted) -> accepted(before, accepted), this.work);
	}

	// The acceptance is reported as in force here at once: an operator who reads the
	// status
	// next must not see this entry behind.
	private JsonObject accepted(Optional<Contract> before, Revision accepted) {
		LOG.info("contract_accepted", "version", accepted.version(), "author", accepted.author(), "reason",
				accepted.reason());
		this.inForce.offer(accepted);
		Contract after = Contract.parse(accepted.version(), accepted.text());
		return json(accepted).put("changes", changes(ContractDiff.between(before, after)));
	}

	private CompletableFuture<JsonObject> diff(RoutingContext routing) {
		String text = text(routing);
		return openWork(text).thenApplyAsync((open) -> {
			Contract after = Contract.parse(this.inForce.version() + 1, text);
			JsonArray warnings = new JsonArray();
			open.strandedBy(after)
				.forEach((problem) -> warnings.add(new JsonObject().put("line", problem.line())
					.put("column", problem.column())
					.put("message", problem.message())
					.put("remedy", problem.remedy())));
			return new JsonObject().put("base", this.inForce.version())
				.put("changes", changes(ContractDiff.between(this.inForce.contract(), after)))
				.put("warnings", warnings);
		}, this.work);
	}

	private CompletableFuture<OpenJobCounts> openWork(String text) {
		return CompletableFuture
			.supplyAsync(() -> Contract.validate(this.inForce.version() + 1, text).contract(), this.work)
			.thenCompose((after) -> this.openJobs.concernedBy(this.inForce.contract(), after));
	}

	private static JsonArray changes(List<ContractChange> changes) {
		JsonArray array = new JsonArray();
		changes.forEach((change) -> array.add(new JsonObject().put("effect", change.effect().name())
			.put("subject", change.subject())
			.put("words", change.description())));
		return array;
	}

	private CompletableFuture<JsonObject> history() {
		return this.register.history().thenApply((revisions) -> {
			JsonArray changes = new JsonArray();
			revisions.forEach((head) -> changes.add(new JsonObject().put("version", head.version())
				.put("author", head.author())
				.put("reason", head.reason())
				.put("accepted", head.acceptedAt().toString())));
			return new JsonObject().put("changes", changes);
		});
	}

	private static String text(RoutingContext routing) {
		String text = routing.body().asString();
		return (text != null) ? text : "";
	}

	private static long version(String text) {
		Matcher matcher = VERSION.matcher(text);
		if (!matcher.matches()) {
			throw new ConfigException(ErrorCode.CONFIG_MALFORMED, "'" + text + "' is no version");
		}
		return Long.parseLong(matcher.group(1));
	}

	// -- the fleet

	private CompletableFuture<JsonObject> status() {
		return this.status.processes().thenCombine(this.status.failures(), (processes, failures) -> {
			long newest = processes.stream().mapToLong(ProcessVersion::getVersion).max().orElse(0);
			JsonArray rows = new JsonArray();
			processes.forEach((process) -> rows.add(new JsonObject().put("instance", process.getInstance())
				.put("role", process.getRole())
				.put("failureDomain", process.getFailureDomain())
				.put("version", process.getVersion())
				.put("lag", newest - process.getVersion())));
			return new JsonObject().put("version", newest).put("processes", rows).put("repeatedFailures", failures);
		});
	}

	private CompletableFuture<JsonObject> drain(RoutingContext routing) {
		String instance = routing.pathParam("instance");
		return this.drains.drain(instance)
			.thenApply((done) -> new JsonObject().put("instance", instance).put("state", "draining"));
	}

}

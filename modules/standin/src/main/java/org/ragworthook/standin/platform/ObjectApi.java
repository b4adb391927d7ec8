package org.ragworthook.standin.platform;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stored;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.objectapi.ObjectDocuments;
import org.ragworthook.objectapi.StoreVerb;
import org.ragworthook.standin.RateLimit;
import org.ragworthook.standin.StandInServer;

/**
 * The object API, by the conventions of the Kubernetes API. {@code POST /control/faults}
 * switches faults, {@code GET /control/counts} tells what was called.
 */
public final class ObjectApi extends StandInServer {

	/** Reads a second that the object API takes, unless set otherwise. */
	public static final double READS_PER_SECOND = 2_000;

	/** Writes a second that the object API takes, unless set otherwise. */
	public static final double WRITES_PER_SECOND = 400;

	private static final String COLLECTION = "/apis/ragworthook.org/v1/namespaces/:namespace/:collection";

	private final MemoryObjectStore store = MemoryObjectStore.empty();

	private final ObjectFaults faults = new ObjectFaults();

	private final CallCounts counts = new CallCounts();

	private final Set<HttpServerResponse> watches = new HashSet<>();

	private final RateLimit reads = RateLimit.of(READS_PER_SECOND, Ticker.system());

	private final RateLimit writes = RateLimit.of(WRITES_PER_SECOND, Ticker.system());

	private long forgottenBefore;

	/**
	 * Creates an object API without objects.
	 * @param port where it is to listen, or 0 for any free port
	 */
	public ObjectApi(int port) {
		super(port);
	}

	@Override
	protected void routes(Router router) {
		router.post("/control/faults").handler(this::changeFaults);
		router.get("/control/faults").handler((context) -> answer(context, 200, this.faults.document()));
		router.get("/control/counts")
			.handler((context) -> answer(context, 200, this.counts.document(this.watches.size())));
		router.get(COLLECTION + "/:name").handler((context) -> admit(context, StoreVerb.READ, this::read));
		router.get(COLLECTION).handler(this::listOrWatch);
		router.post(COLLECTION).handler((context) -> admit(context, StoreVerb.CREATE, this::create));
		router.put(COLLECTION + "/:name").handler((context) -> admit(context, StoreVerb.UPDATE, this::update));
		router.delete(COLLECTION + "/:name").handler((context) -> admit(context, StoreVerb.DELETE, this::delete));
	}

	// -- control

	private void changeFaults(RoutingContext context) {
		JsonObject change = body(context);
		this.faults.change(change);
		Optional.ofNullable(change.getDouble("readsPerSecond")).ifPresent(this.reads::rate);
		Optional.ofNullable(change.getDouble("writesPerSecond")).ifPresent(this.writes::rate);
		if (change.getBoolean("forgetHistory", false)) {
			this.forgottenBefore = this.store.list(Kind.CONFIG, Labels.empty()).join().version();
		}
		if (change.getBoolean("endWatches", false) || this.faults.outage()) {
			Set.copyOf(this.watches).forEach(HttpServerResponse::end);
		}
		answer(context, 200, this.faults.document());
	}

	// -- admission of calls

	private void admit(RoutingContext context, StoreVerb verb, Function<Call, CompletableFuture<JsonObject>> action) {
		Optional<Kind> kind = kind(context);
		if (kind.isEmpty()) {
			refuse(context, 404, "no such collection");
			return;
		}
		Call call = new Call(context, verb, kind.get());
		this.counts.call(verb, kind.get(), context.body().length());
		if (this.faults.silent()) {
			return;
		}
		if (this.faults.outage()) {
			this.counts.refused();
			refuse(context, 503, "outage");
			return;
		}
		RateLimit limit = verb.write() ? this.writes : this.reads;
		if (!limit.tryTake(1)) {
			this.counts.rateLimited();
			context.response().putHeader("Retry-After", Long.toString(limit.secondsUntil(1)));
			refuse(context, 429, "too many calls");
			return;
		}
		delayed(() -> run(call, action));
	}

	private void delayed(Runnable action) {
		if (this.faults.delayMillis() > 0) {
			this.vertx.setTimer(this.faults.delayMillis(), (id) -> action.run());
		}
		else {
			action.run();
		}
	}

	private void run(Call call, Function<Call, CompletableFuture<JsonObject>> action) {
		CompletableFuture<JsonObject> outcome;
		try {
			outcome = action.apply(call);
		}
		catch (DecodeException | IllegalArgumentException ex) {
			refuse(call.context(), 400, ex.getMessage());
			return;
		}
		outcome.whenComplete((document, failure) -> finish(call, document, failure));
	}

	private void finish(Call call, JsonObject document, Throwable failure) {
		if (failure != null) {
			refuse(call.context(), status(call, failure), failure.getMessage());
			return;
		}
		if (call.verb().write() && this.faults.losesAnswer()) {
			this.counts.lostAnswer();
			call.context().request().connection().close();
			return;
		}
		Buffer answer = document.toBuffer();
		this.counts.sent(answer.length());
		call.context()
			.response()
			.setStatusCode((call.verb() == StoreVerb.CREATE) ? 201 : 200)
			.putHeader("Content-Type", "application/json")
			.end(answer);
	}

	private int status(Call call, Throwable failure) {
		ErrorCode code = ConditionalWriter.codeOf(failure).orElse(ErrorCode.STORE_CONFLICT);
		boolean named = call.verb() != StoreVerb.CREATE;
		boolean absent = named && this.store.read(call.key()).join().isEmpty();
		return (absent && code == ErrorCode.STORE_CONFLICT) ? 404 : code.httpStatus();
	}

	// -- the calls

	private CompletableFuture<JsonObject> read(Call call) {
		return this.store.read(call.key())
			.thenApply((found) -> found.map(ObjectDocuments::document).orElseThrow(NotFoundException::new));
	}

	private CompletableFuture<JsonObject> create(Call call) {
		JsonObject document = call.document();
		String name = document.getJsonObject("metadata").getString("name");
		ObjectKey key = ObjectKey.of(call.kind(), name);
		return this.store.create(key, ObjectDocuments.draft(document)).thenApply(ObjectDocuments::document);
	}

	private CompletableFuture<JsonObject> update(Call call) {
		JsonObject document = call.document();
		long expected = ObjectDocuments.version(document);
		return this.store.update(call.key(), ObjectDocuments.draft(document), expected)
			.thenApply(ObjectDocuments::document);
	}

	private CompletableFuture<JsonObject> delete(Call call) {
		JsonObject preconditions = call.document().getJsonObject("preconditions", new JsonObject());
		long newest = this.store.read(call.key()).join().map(Stored::version).orElse(0L);
		long expected = Long.parseLong(preconditions.getString("resourceVersion", Long.toString(newest)));
		return this.store.delete(call.key(), expected).thenApply((deleted) -> {
			if (!deleted) {
				throw new NotFoundException();
			}
			return new JsonObject().put("kind", "Status").put("status", "Success");
		});
	}

	// -- listing and watching

	private void listOrWatch(RoutingContext context) {
		if ("true".equals(context.request().getParam("watch"))) {
			admit(context, StoreVerb.WATCH, this::watch);
		}
		else {
			admit(context, StoreVerb.LIST, this::list);
		}
	}

	private CompletableFuture<JsonObject> list(Call call) {
		return this.store.list(call.kind(), call.selector())
			.thenApply((listing) -> ObjectDocuments.document(call.kind(), listing));
	}

	private CompletableFuture<JsonObject> watch(Call call) {
		long after = Long.parseLong(call.context().request().getParam("resourceVersion", "0"));
		if (after < this.forgottenBefore) {
			refuse(call.context(), 410, "too old resource version");
			return new CompletableFuture<>();
		}
		HttpServerResponse response = call.context().response().setChunked(true);
		response.putHeader("Content-Type", "application/json;stream=watch");
		response.writeHead();
		this.watches.add(response);
		ObjectStore.Watch watch = this.store.watch(call.kind(), call.selector(), after, (event) -> {
			Buffer line = ObjectDocuments.document(event).toBuffer().appendString("\n");
			this.counts.sent(line.length());
			response.write(line);
		}, response::end);
		long seconds = Long.parseLong(call.context().request().getParam("timeoutSeconds", "1800"));
		long timer = this.vertx.setTimer(Math.max(1, seconds) * 1000, (id) -> response.end());
		Runnable over = () -> {
			watch.close();
			this.watches.remove(response);
			this.vertx.cancelTimer(timer);
		};
		response.closeHandler((nothing) -> over.run());
		response.endHandler((nothing) -> over.run());
		return new CompletableFuture<>();
	}

	private static Optional<Kind> kind(RoutingContext context) {
		String collection = context.pathParam("collection");
		return Arrays.stream(Kind.values()).filter((kind) -> kind.collection().equals(collection)).findFirst();
	}

	private static void refuse(RoutingContext context, int status, String message) {
		JsonObject document = new JsonObject().put("kind", "Status")
			.put("status", "Failure")
			.put("code", status)
			.put("message", message);
		answer(context, status, document);
	}

	private record Call(RoutingContext context, StoreVerb verb, Kind kind) {

		ObjectKey key() {
			return ObjectKey.of(this.kind, this.context.pathParam("name"));
		}

		JsonObject document() {
			return body(this.context);
		}

		Labels selector() {
			return ObjectDocuments.selector(this.context.request().getParam("labelSelector", ""));
		}

	}

	private static final class NotFoundException extends RuntimeException {

		private static final long serialVersionUID = 1L;

		NotFoundException() {
			super("not found", null, false, false);
		}

	}

}

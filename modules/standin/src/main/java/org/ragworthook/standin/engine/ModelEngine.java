package org.ragworthook.standin.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.standin.StandInServer;
import org.ragworthook.standin.VertxTimers;

/**
 * A model engine. A request whose connection closes is cancelled at once. A request with
 * {@link Prompt#CRASH_MARKER} in it crashes the engine with its first token: every
 * connection breaks and the port is closed until the engine has restarted.
 */
public final class ModelEngine extends StandInServer implements BatchLoop.Observer {

	private static final int EXIT_CODE = 70;

	private final EngineSettings settings;

	private final EngineCounts counts = new EngineCounts();

	private final CacheEvents events;

	private final PrefixCache cache;

	private final Map<HttpServerResponse, Generation> open = new HashMap<>();

	private BatchLoop loop;

	private ModelTable models;

	private WeightLoader weights;

	private LoadReport report = new LoadReport(0, 0, 0, 0);

	private boolean hung;

	/**
	 * Creates an engine that does not listen yet.
	 * @param port where it is to listen, or 0 for any free port
	 * @param settings how it behaves
	 */
	public ModelEngine(int port, EngineSettings settings) {
		super(port);
		this.settings = Objects.requireNonNull(settings, "settings is null");
		this.events = new CacheEvents(Ticker.system(), settings.eventLag(), settings.eventLoss());
		this.cache = new PrefixCache(settings.cacheBlocks(), this.events::add);
		this.models = new ModelTable(settings.models(), settings.fencingChecked());
	}

	@Override
	public Future<?> start() {
		this.loop = new BatchLoop(this.settings, Ticker.system(), VertxTimers.of(this.vertx), this.cache, this);
		this.weights = new WeightLoader(this.vertx, this.settings.weightsPort());
		this.vertx.setPeriodic(Math.max(1, this.settings.loadLag().toMillis()), (id) -> this.report = load());
		return super.start();
	}

	private LoadReport load() {
		double use = (double) this.cache.size() / this.settings.cacheBlocks();
		return new LoadReport(this.loop.running(), this.loop.waiting(), use, this.counts.tokens());
	}

	@Override
	protected void routes(Router router) {
		router.route("/v1/*").handler((context) -> {
			if (!this.hung) {
				context.next();
			}
		});
		router.get("/health").handler((context) -> answer(context, 200, new JsonObject().put("status", "ok")));
		router.get("/metrics")
			.handler((context) -> context.response()
				.putHeader("Content-Type", "text/plain; version=0.0.4")
				.end(this.report.page(this.settings.models().get(0))));
		router.get("/v1/models").handler((context) -> answer(context, 200, this.models.models()));
		router.post("/v1/chat/completions").handler((context) -> generate(context, true));
		router.post("/v1/completions").handler((context) -> generate(context, false));
		router.get("/v1/kv/events")
			.handler((context) -> answer(context, 200,
					this.events.after(Long.parseLong(context.request().getParam("after", "0")))));
		router.post("/v1/kv/export").handler(this::exportCache);
		router.post("/v1/kv/import").handler(this::importCache);
		router.post("/v1/:order").handler(this::order);
		controls(router);
	}

	private void controls(Router router) {
		router.get("/control/counts").handler((context) -> answer(context, 200, this.counts.document()));
		router.get("/control/tags").handler((context) -> answer(context, 200, this.counts.tags()));
		router.get("/control/orders").handler((context) -> answer(context, 200, this.models.orders()));
		router.post("/control/faults").handler((context) -> {
			JsonObject change = body(context);
			this.hung = change.getBoolean("hung", this.hung);
			answer(context, 200, new JsonObject().put("hung", this.hung));
			if (change.getBoolean("crash", false)) {
				this.vertx.runOnContext((nothing) -> crashed());
			}
		});
	}

	// -- generation

	private void generate(RoutingContext context, boolean chat) {
		JsonObject request;
		Prompt prompt;
		try {
			request = body(context);
			prompt = chat ? Prompt.chat(request) : Prompt.completion(request);
		}
		catch (DecodeException | IllegalArgumentException | ClassCastException ex) {
			refuse(context, 400, ex.getMessage());
			return;
		}
		String model = request.getString("model", "");
		if (!this.models.serves(model)) {
			refuse(context, 404, "The model `" + model + "` does not exist.");
			return;
		}
		HttpServerResponse response = context.response();
		Generation generation = new Generation(prompt, new Answer(response, request, chat));
		this.counts.arrived(this.loop.waiting());
		this.open.put(response, generation);
		response.closeHandler((nothing) -> left(response));
		response.exceptionHandler((failure) -> left(response));
		response.endHandler((nothing) -> this.open.remove(response));
		this.loop.submit(generation);
	}

	private void left(HttpServerResponse response) {
		Generation generation = this.open.remove(response);
		if (generation != null && !response.ended()) {
			this.loop.cancel(generation);
			this.counts.cancelled(generation);
		}
	}

	@Override
	public void admitted(Generation generation) {
		this.counts.admitted(generation);
	}

	@Override
	public void finished(Generation generation) {
		this.counts.finished(generation);
	}

	@Override
	public void crashed() {
		this.counts.crashed();
		this.open.clear();
		this.loop.clear();
		this.cache.clear();
		if (this.settings.exitOnCrash()) {
			Runtime.getRuntime().halt(EXIT_CODE);
		}
		this.models = new ModelTable(this.settings.models(), this.settings.fencingChecked());
		stopListening().onComplete(
				(done) -> this.vertx.setTimer(Math.max(1, this.settings.restartTime().toMillis()), (id) -> listen()));
	}

	// -- cache

	private void exportCache(RoutingContext context) {
		JsonArray blocks = new JsonArray();
		this.cache.cached(body(context).getString("prompt", ""))
			.forEach((hash) -> blocks.add(Long.toUnsignedString(hash)));
		answer(context, 200, new JsonObject().put("block_hashes", blocks));
	}

	private void importCache(RoutingContext context) {
		JsonArray blocks = body(context).getJsonArray("block_hashes", new JsonArray());
		blocks.forEach((hash) -> this.cache.add(Long.parseUnsignedLong((String) hash)));
		answer(context, 200, new JsonObject().put("imported", blocks.size()));
	}

	// -- orders

	private void order(RoutingContext context) {
		JsonObject order = body(context);
		if (!this.models.admits(order)) {
			refuse(context, 409, "fencing token is older than one already seen");
			return;
		}
		String verb = context.pathParam("order");
		this.weights.fetch(verb, order).onSuccess((nothing) -> {
			try {
				this.models.apply(verb, order);
				answer(context, 200, this.models.models());
			}
			catch (IllegalArgumentException ex) {
				refuse(context, 400, ex.getMessage());
			}
		}).onFailure((failure) -> {
			context.response().putHeader("Retry-After", "1");
			refuse(context, 503, failure.getMessage());
		});
	}

	private static void refuse(RoutingContext context, int status, String message) {
		JsonObject error = new JsonObject().put("message", message)
			.put("type", (status < 500) ? "invalid_request_error" : "server_error")
			.putNull("param")
			.putNull("code");
		answer(context, status, new JsonObject().put("error", error));
	}

}

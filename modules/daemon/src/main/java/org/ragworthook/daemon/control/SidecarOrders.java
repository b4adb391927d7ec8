package org.ragworthook.daemon.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.Failures;
import org.ragworthook.core.error.OrderException;
import org.ragworthook.core.error.RagworthookException;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.order.OrderFence;
import org.ragworthook.daemon.engine.UpstreamClient;
import org.ragworthook.objectapi.http.HttpClients;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Order;
import org.ragworthook.wire.message.OrderOutcome;

/**
 * Carries out orders at the upstream, one at a time, if the fence lets them pass. The
 * fence is asked again when an order's turn comes: a newer leader may have spoken while
 * the order before it was carried out. All state is confined to one context.
 */
public final class SidecarOrders {

	private static final EventLog LOG = EventLog.of(SidecarOrders.class);

	private static final int LAST_SUCCESS = 299;

	/** Many times the list of the models of an engine. */
	private static final int MAX_ANSWER_BYTES = 8 << 20;

	private final Context context;

	private final UpstreamClient upstream;

	private final OrderFence fence;

	private final Queue<Waiting> queue = new ArrayDeque<>();

	private boolean running;

	/**
	 * Creates the orders of a sidecar.
	 * @param context to which all state is confined
	 * @param upstream carries the orders out
	 * @param fence refuses old ones
	 */
	public SidecarOrders(Context context, UpstreamClient upstream, OrderFence fence) {
		this.context = Objects.requireNonNull(context, "context is null");
		this.upstream = Objects.requireNonNull(upstream, "upstream is null");
		this.fence = Objects.requireNonNull(fence, "fence is null");
	}

	void order(Link link, Order order) {
		this.fence.admit(order.getShard(), order.getEpoch())
			.whenComplete((admitted, failure) -> this.context.runOnContext((ignored) -> {
				if (failure != null) {
					refuse(link, order, failure);
				}
				else {
					this.queue.add(new Waiting(link, order));
					next();
				}
			}));
	}

	/**
	 * Asks the upstream what it holds.
	 * @return models as {@code name@version}, adapters by name
	 */
	CompletableFuture<List<String>> models() {
		CompletableFuture<List<String>> models = new CompletableFuture<>();
		this.context
			.runOnContext((ignored) -> send(HttpMethod.GET, "/v1/models", new JsonObject()).map(SidecarOrders::held)
				.onSuccess(models::complete)
				.onFailure(models::completeExceptionally));
		return models;
	}

	private void next() {
		if (this.running || this.queue.isEmpty()) {
			return;
		}
		Waiting waiting = this.queue.poll();
		Order order = waiting.order();
		if (!this.fence.isCurrent(order.getShard(), order.getEpoch())) {
			refuse(waiting.link(), order, new OrderException(ErrorCode.ORDER_FENCED, "a newer leader has spoken"));
			next();
			return;
		}
		this.running = true;
		carryOut(order).onComplete((result) -> {
			this.running = false;
			if (result.succeeded()) {
				LOG.info("order_done", "id", order.getId(), "verb", order.getVerb(), "model", order.getModel(), "epoch",
						order.getEpoch());
				answer(waiting.link(),
						OrderOutcome.newBuilder().setId(order.getId()).setDone(true).addAllModels(result.result()));
			}
			else {
				refuse(waiting.link(), order, result.cause());
			}
			next();
		});
	}

	private Future<List<String>> carryOut(Order order) {
		JsonObject body = new JsonObject().put("fencing_token", order.getEpoch());
		if (order.getAdapter().isEmpty()) {
			body.put("model", order.getModel()).put("version", order.getVersion());
		}
		else {
			body.put("lora_name", order.getAdapter()).put("lora_path", order.getAdapter());
		}
		String path = "/v1/" + order.getVerb().replace('-', '_').replace("adapter", "lora_adapter");
		return send(HttpMethod.POST, path, body).compose((done) -> send(HttpMethod.GET, "/v1/models", new JsonObject()))
			.map(SidecarOrders::held);
	}

	private Future<JsonObject> send(HttpMethod method, String path, JsonObject body) {
		return this.upstream.http()
			.request(this.upstream.options(method, path))
			.compose((request) -> request.putHeader("Content-Type", "application/json").send(body.toBuffer()))
			.compose((response) -> HttpClients.body(response, MAX_ANSWER_BYTES).compose((answer) -> {
				if (response.statusCode() > LAST_SUCCESS) {
					return Future.failedFuture(new OrderException(ErrorCode.ORDER_FAILED,
							"the upstream answered " + response.statusCode() + " " + answer));
				}
				return Future.succeededFuture(answer.toJsonObject());
			}));
	}

	// Engines differ in what they say of versions; one that says nothing is taken to hold
	// the first.
	private static List<String> held(JsonObject models) {
		List<String> held = new ArrayList<>();
		models.getJsonArray("data").forEach((entry) -> {
			JsonObject model = (JsonObject) entry;
			boolean adapter = model.getBoolean("adapter", model.getValue("parent") != null);
			held.add(adapter ? model.getString("id") : model.getString("id") + "@" + model.getString("version", "1"));
		});
		return held;
	}

	private static void refuse(Link link, Order order, Throwable failure) {
		Throwable cause = Failures.root(failure);
		ErrorCode code = (cause instanceof RagworthookException error) ? error.code() : ErrorCode.ORDER_FAILED;
		String detail = (cause instanceof RagworthookException error) ? error.detail() : String.valueOf(cause);
		LOG.warning("order_refused", "id", order.getId(), "verb", order.getVerb(), "epoch", order.getEpoch(), "code",
				code.text(), "detail", detail);
		answer(link, OrderOutcome.newBuilder().setId(order.getId()).setError(code.number()).setDetail(detail));
	}

	private static void answer(Link link, OrderOutcome.Builder outcome) {
		link.send(Frame.newBuilder().setOrderOutcome(outcome).build());
	}

	private record Waiting(Link link, Order order) {
	}

}

package org.ragworthook.standin.service;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.ragworthook.standin.StandInServer;

/**
 * A plain service such as a booking desk. It does not recognise a repeated call: each one
 * that arrives is executed, and counted by its {@code Idempotency-Key} or else by the
 * field {@code key} of its body.
 */
public final class PlainService extends StandInServer {

	private final Map<String, Integer> executions = new TreeMap<>();

	private long delayMillis;

	private int loseNext;

	private int failNext;

	private boolean outage;

	/**
	 * Creates a service that does not listen yet.
	 * @param port where it is to listen, or 0 for any free port
	 * @param delayMillis how long a call takes
	 */
	public PlainService(int port, long delayMillis) {
		super(port);
		this.delayMillis = delayMillis;
	}

	@Override
	protected void routes(Router router) {
		router.get("/health").handler((context) -> answer(context, 200, new JsonObject().put("status", "ok")));
		router.get("/control/executions").handler(this::executions);
		router.post("/control/faults").handler(this::changeFaults);
		router.route().handler(this::call);
	}

	private void executions(RoutingContext context) {
		JsonObject document = new JsonObject();
		this.executions.forEach(document::put);
		answer(context, 200, document);
	}

	private void changeFaults(RoutingContext context) {
		JsonObject change = body(context);
		this.delayMillis = change.getLong("delayMillis", this.delayMillis);
		this.loseNext = change.getInteger("loseNext", this.loseNext);
		this.failNext = change.getInteger("failNext", this.failNext);
		this.outage = change.getBoolean("outage", this.outage);
		answer(context, 200, change);
	}

	private void call(RoutingContext context) {
		if (this.outage) {
			answer(context, 503, new JsonObject().put("error", "outage"));
			return;
		}
		String key = key(context);
		int execution = this.executions.merge(key, 1, Integer::sum);
		if (this.delayMillis > 0) {
			this.vertx.setTimer(this.delayMillis, (id) -> finish(context, key, execution));
		}
		else {
			finish(context, key, execution);
		}
	}

	private void finish(RoutingContext context, String key, int execution) {
		if (this.loseNext > 0) {
			this.loseNext--;
			context.request().connection().close();
			return;
		}
		if (this.failNext > 0) {
			this.failNext--;
			answer(context, 500, new JsonObject().put("error", "failed"));
			return;
		}
		answer(context, 200,
				new JsonObject().put("key", key)
					.put("execution", execution)
					.put("path", context.request().path())
					.put("confirmed", true));
	}

	private static String key(RoutingContext context) {
		HttpServerRequest request = context.request();
		return Optional.ofNullable(request.getHeader("Idempotency-Key"))
			.or(() -> Optional.ofNullable(request.getParam("key")))
			.orElseGet(() -> (context.body().length() > 0) ? body(context).getString("key", "") : "");
	}

}

package org.ragworthook.standin.service;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.standin.RateLimit;
import org.ragworthook.standin.StandInServer;

/**
 * A weight store that serves so many downloads a second and answers the rest with 429 and
 * {@code Retry-After}.
 */
public final class WeightStore extends StandInServer {

	private final RateLimit limit;

	private final Buffer weights;

	private long served;

	private long refused;

	/**
	 * Creates a weight store that does not listen yet.
	 * @param port where it is to listen, or 0 for any free port
	 * @param perSecond downloads a second
	 * @param bytes the size of every file of weights
	 */
	public WeightStore(int port, double perSecond, int bytes) {
		super(port);
		this.limit = RateLimit.of(perSecond, Ticker.system());
		this.weights = Buffer.buffer(new byte[bytes]);
	}

	@Override
	protected void routes(Router router) {
		router.get("/weights/:model/:version").handler(this::download);
		router.get("/control/counts")
			.handler((context) -> answer(context, 200,
					new JsonObject().put("served", this.served).put("refused", this.refused)));
	}

	private void download(RoutingContext context) {
		if (this.limit.tryTake(1)) {
			this.served++;
			context.response().putHeader("Content-Type", "application/octet-stream").end(this.weights);
			return;
		}
		this.refused++;
		context.response().putHeader("Retry-After", Long.toString(this.limit.secondsUntil(1)));
		answer(context, 429, new JsonObject().put("error", "too many downloads"));
	}

}

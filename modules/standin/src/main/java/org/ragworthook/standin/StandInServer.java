package org.ragworthook.standin;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;

/**
 * A stand-in behind an HTTP server. All its handlers run on one event loop, so that it
 * needs no locks.
 */
public abstract class StandInServer extends VerticleBase {

	/** Where every stand-in listens. */
	public static final String HOST = "127.0.0.1";

	private static final long BODY_LIMIT = 64L << 20;

	private final int port;

	private Router router;

	private HttpServer server;

	/**
	 * Creates a stand-in that does not listen yet.
	 * @param port where it is to listen, or 0 for any free port
	 */
	protected StandInServer(int port) {
		this.port = port;
	}

	/**
	 * Adds the stand-in's routes.
	 * @param router takes the routes; bodies are read already
	 */
	protected abstract void routes(Router router);

	@Override
	public Future<?> start() {
		this.router = Router.router(this.vertx);
		this.router.route().handler(BodyHandler.create(false).setBodyLimit(BODY_LIMIT));
		routes(this.router);
		return listen();
	}

	/**
	 * Listens on the port, the same as before if the stand-in listened before.
	 * @return completes once it listens
	 */
	protected final Future<?> listen() {
		HttpServerOptions options = new HttpServerOptions().setMaxInitialLineLength(16_384).setTcpNoDelay(true);
		return this.vertx.createHttpServer(options)
			.requestHandler(this.router)
			.listen((this.server != null) ? port() : this.port, HOST)
			.onSuccess((listening) -> this.server = listening);
	}

	/**
	 * Closes the port and breaks every connection.
	 * @return completes once the port is closed
	 */
	protected final Future<Void> stopListening() {
		return this.server.close();
	}

	/**
	 * Deploys the stand-in.
	 * @param host runs it
	 * @return completes with the port on which it listens
	 */
	public Future<Integer> deploy(Vertx host) {
		return host.deployVerticle(this).map((id) -> port());
	}

	/**
	 * Returns the port on which the stand-in listens.
	 * @return the port, once it is deployed
	 */
	public int port() {
		return this.server.actualPort();
	}

	/**
	 * Answers with a JSON document.
	 * @param context the request
	 * @param status the HTTP status
	 * @param body the document
	 */
	protected static void answer(RoutingContext context, int status, JsonObject body) {
		context.response().setStatusCode(status).putHeader("Content-Type", "application/json").end(body.toBuffer());
	}

	/**
	 * Returns the JSON document that a request carries.
	 * @param context the request
	 * @return its body, empty if it has none
	 */
	protected static JsonObject body(RoutingContext context) {
		JsonObject body = context.body().asJsonObject();
		return (body != null) ? body : new JsonObject();
	}

}

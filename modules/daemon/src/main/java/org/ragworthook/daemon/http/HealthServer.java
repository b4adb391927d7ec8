package org.ragworthook.daemon.http;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.LinkException;
import org.ragworthook.core.fleet.Address;

/**
 * Serves health and metrics, where a process serves nothing else.
 */
public final class HealthServer implements AutoCloseable {

	private final HttpServer server;

	private HealthServer(HttpServer server) {
		this.server = server;
	}

	/**
	 * Starts to serve.
	 * @param vertx carries the server
	 * @param address where to listen
	 * @param metrics what to show
	 * @return the server, listening
	 * @throws LinkException if the address cannot be bound
	 */
	public static HealthServer listen(Vertx vertx, Address address, Metrics metrics) {
		Router router = Router.router(vertx);
		HealthRoutes.mount(router, metrics, () -> true);
		return new HealthServer(bind(vertx.createHttpServer().requestHandler(router), address));
	}

	/**
	 * Binds a server and waits for it.
	 * @param server the server, with its handler
	 * @param address where to listen
	 * @return the server, listening
	 * @throws LinkException if the address cannot be bound
	 */
	public static HttpServer bind(HttpServer server, Address address) {
		try {
			return server.listen(address.port(), address.host()).toCompletionStage().toCompletableFuture().join();
		}
		catch (RuntimeException ex) {
			throw new LinkException(ErrorCode.SETTINGS_ADDRESS_IN_USE, "cannot listen on " + address, ex);
		}
	}

	@Override
	public void close() {
		this.server.close().toCompletionStage().toCompletableFuture().join();
	}

}

package org.ragworthook.daemon.fake;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.ragworthook.core.fleet.Address;

/**
 * Stands between two processes and can stop to carry anything while all connections stay
 * open, as when a machine vanishes without a word.
 */
public final class FrozenProxy implements AutoCloseable {

	private final NetServer server;

	private final NetClient client;

	private final Address target;

	private volatile boolean frozen;

	/**
	 * Creates a proxy.
	 * @param vertx carries its connections
	 * @param target where to carry everything
	 */
	public FrozenProxy(Vertx vertx, Address target) {
		this.target = target;
		this.client = vertx.createNetClient();
		this.server = vertx.createNetServer().connectHandler(this::accept);
		this.server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
	}

	private void accept(NetSocket near) {
		near.pause();
		this.client.connect(this.target.port(), this.target.host()).onSuccess((far) -> {
			carry(near, far);
			carry(far, near);
			near.resume();
		}).onFailure((failure) -> near.close());
	}

	private void carry(NetSocket from, NetSocket to) {
		from.handler((data) -> {
			if (!this.frozen) {
				to.write(data);
			}
		});
		from.closeHandler((ignored) -> {
			if (!this.frozen) {
				to.close();
			}
		});
	}

	/**
	 * Stops to carry anything.
	 */
	public void freeze() {
		this.frozen = true;
	}

	/**
	 * Returns where the proxy listens.
	 * @return the address
	 */
	public Address address() {
		return new Address("127.0.0.1", this.server.actualPort());
	}

	@Override
	public void close() {
		this.server.close().toCompletionStage().toCompletableFuture().join();
		this.client.close();
	}

}

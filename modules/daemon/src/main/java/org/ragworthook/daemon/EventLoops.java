package org.ragworthook.daemon;

import io.netty.channel.EventLoopGroup;
import io.vertx.core.Vertx;
import io.vertx.core.internal.VertxInternal;

/**
 * The threads that carry HTTP, for links to share. With threads of their own, each piece
 * of an answer would be handed from one thread to another at every process it passes, and
 * on a busy machine each hand-over waits for a free core.
 */
public final class EventLoops {

	private EventLoops() {
	}

	/**
	 * Returns the event loops of Vert.x.
	 * @param vertx whose event loops
	 * @return the group, which ends with Vert.x
	 */
	public static EventLoopGroup of(Vertx vertx) {
		return ((VertxInternal) vertx).eventLoopGroup();
	}

}

package org.ragworthook.core.close;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

import org.ragworthook.core.log.EventLog;

/**
 * Collects resources and closes them in reverse order of addition. If a resource fails to
 * close, the failure is logged and the remaining resources are closed all the same.
 */
public final class Closer implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(Closer.class);

	private final Deque<AutoCloseable> resources = new ArrayDeque<>();

	private boolean closed;

	private Closer() {
	}

	/**
	 * Returns a closer without resources.
	 * @return a new closer
	 */
	public static Closer empty() {
		return new Closer();
	}

	/**
	 * Adds a resource. If this closer is already closed, the resource is closed at once.
	 * @param <T> the type of the resource
	 * @param resource the resource to close
	 * @return the given resource
	 */
	public <T extends AutoCloseable> T add(T resource) {
		Objects.requireNonNull(resource, "resource is null");
		synchronized (this) {
			if (!this.closed) {
				this.resources.push(resource);
				return resource;
			}
		}
		close(resource);
		return resource;
	}

	@Override
	public void close() {
		for (AutoCloseable resource = pollNext(); resource != null; resource = pollNext()) {
			close(resource);
		}
	}

	private synchronized AutoCloseable pollNext() {
		this.closed = true;
		return this.resources.poll();
	}

	private static void close(AutoCloseable resource) {
		try {
			resource.close();
		}
		catch (Exception ex) {
			LOG.warning("close_failed", "resource", resource.getClass().getName(), "error", ex);
		}
	}

}

package org.ragworthook.core.close;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

import org.ragworthook.core.log.EventLog;

/**
 * Gathers resources and closes them in the reverse order. A resource that fails to close
 * is logged and does not keep the others open.
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
	 * Adds a resource; one that comes after the close is closed at once.
	 * @param <T> the type of the resource
	 * @param resource what to close
	 * @return the resource
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
		for (AutoCloseable resource = next(); resource != null; resource = next()) {
			close(resource);
		}
	}

	private synchronized AutoCloseable next() {
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

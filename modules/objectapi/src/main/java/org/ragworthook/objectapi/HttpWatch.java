package org.ragworthook.objectapi;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import org.ragworthook.core.response.HeadFault;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.WatchEvent;

/**
 * A watch over one HTTP answer that does not end, one JSON document a line.
 * <p>
 * A connection whose other side vanished stays open and silent; changes would be missed
 * for ever and one would notice a process acting by an old configuration. The platform
 * ends each watch after a stated time, and a watch that outlasts it is ended here, as is
 * one that was open when another call got no response.
 */
final class HttpWatch implements ObjectStore.Watch {

	private static final Duration GRACE = Duration.ofSeconds(10);

	/** The most bytes of an event, several times those of an object. */
	private static final int MAX_EVENT_BYTES = 16 << 20;

	private final Vertx vertx;

	private final Kind kind;

	private final Consumer<WatchEvent> events;

	private final Runnable ended;

	private final StoreCalls calls;

	private final Set<HttpWatch> open;

	private final long openedNanos = System.nanoTime();

	private final AtomicBoolean over = new AtomicBoolean();

	private final AtomicReference<HttpClientRequest> request = new AtomicReference<>();

	private volatile long timer;

	HttpWatch(Vertx vertx, Kind kind, Consumer<WatchEvent> events, Runnable ended, StoreCalls calls,
			Set<HttpWatch> open) {
		this.vertx = vertx;
		this.kind = kind;
		this.events = events;
		this.ended = ended;
		this.calls = calls;
		this.open = open;
	}

	/**
	 * Returns whether this watch was open at a time.
	 * @param nanos the time, by {@link System#nanoTime()}
	 * @return whether it was opened by then
	 */
	boolean openSince(long nanos) {
		return this.openedNanos - nanos <= 0;
	}

	void start(HttpClient client, String path, PlatformSettings settings) {
		this.open.add(this);
		this.timer = this.vertx.setTimer(settings.watchTimeout().plus(GRACE).toMillis(), (id) -> end());
		RequestOptions options = new RequestOptions().setMethod(HttpMethod.GET)
			.setURI(path)
			.setConnectTimeout(settings.connectTimeout().toMillis());
		client.request(options).compose((opened) -> {
			this.request.set(opened);
			if (this.over.get()) {
				opened.reset();
			}
			return opened.send();
		}).onSuccess(this::follow).onFailure((failure) -> end());
	}

	private void follow(HttpClientResponse response) {
		if (response.statusCode() != 200 || HeadFault.of(response.statusMessage(), response.headers()).isPresent()) {
			end();
			return;
		}
		RecordParser lines = RecordParser.newDelimited("\n", response).maxRecordSize(MAX_EVENT_BYTES);
		lines.exceptionHandler((failure) -> end());
		lines.endHandler((nothing) -> end());
		lines.handler(this::line);
	}

	private void line(Buffer line) {
		this.calls.received(line.length() + 1);
		if (this.over.get() || line.length() == 0) {
			return;
		}
		try {
			take(line.toJsonObject());
		}
		catch (RuntimeException ex) {
			// An event that cannot be read would be a change missed in silence; a new
			// listing
			// after the end makes up for it.
			end();
		}
	}

	private void take(JsonObject event) {
		switch (event.getString("type", "ERROR")) {
			case "ADDED", "MODIFIED" -> this.events
				.accept(new WatchEvent(ObjectDocuments.stored(this.kind, event.getJsonObject("object")), false));
			case "DELETED" -> this.events
				.accept(new WatchEvent(ObjectDocuments.stored(this.kind, event.getJsonObject("object")), true));
			case "BOOKMARK" -> {
			}
			default -> end();
		}
	}

	void end() {
		if (this.over.compareAndSet(false, true)) {
			reset();
			this.ended.run();
		}
	}

	private void reset() {
		this.open.remove(this);
		this.vertx.cancelTimer(this.timer);
		HttpClientRequest opened = this.request.get();
		if (opened != null) {
			opened.reset();
		}
	}

	@Override
	public void close() {
		if (this.over.compareAndSet(false, true)) {
			reset();
		}
	}

}

package org.ragworthook.objectapi;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.StoreException;
import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.Listing;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stored;
import org.ragworthook.core.store.WatchEvent;
import org.ragworthook.objectapi.http.HttpClients;

/**
 * The object API over HTTP.
 * <p>
 * A write whose connection or answer is lost may have taken effect. Reported as a plain
 * failure, it would be tried again blindly or given up although it holds; one would
 * notice a job refused that runs. So a write fails with {@code STORE_UNAVAILABLE} only if
 * the platform said that it did not take it, or if no connection was there to send it on;
 * every other failure of a write is {@code STORE_OUTCOME_UNKNOWN}.
 * <p>
 * Each call has a connection of its own. An answer does not name the call that it belongs
 * to: the second answer to an earlier call, late on a kept connection, would be read as
 * that to the present call, such as an old version of an object as the newest.
 */
public final class HttpObjectStore implements ObjectStore, AutoCloseable {

	private static final Set<Integer> NOT_FOUND_OR_GONE = Set.of(404, 410);

	/** The most bytes of an answer, far above those of a listing of all jobs. */
	static final int MAX_ANSWER_BYTES = 64 << 20;

	private final Vertx vertx;

	private final PlatformSettings settings;

	private final HttpClient client;

	private final HttpClient watchClient;

	private final StoreCalls calls = StoreCalls.zero();

	/**
	 * The calls that have a connection. A call that waits for one of them to end has not
	 * shown that the platform is silent.
	 */
	private final AtomicInteger exchanges = new AtomicInteger();

	private final Set<HttpWatch> watches = ConcurrentHashMap.newKeySet();

	private HttpObjectStore(Vertx vertx, PlatformSettings settings) {
		this.vertx = vertx;
		this.settings = settings;
		HttpClientOptions options = new HttpClientOptions().setDefaultHost(settings.address().host())
			.setDefaultPort(settings.address().port())
			.setConnectTimeout((int) settings.connectTimeout().toMillis())
			.setTcpKeepAlive(true);
		this.client = HttpClients.create(vertx, options, new PoolOptions().setHttp1MaxSize(settings.connections()));
		this.watchClient = HttpClients.create(vertx, options,
				new PoolOptions().setHttp1MaxSize(Kind.values().length * 4));
	}

	/**
	 * Returns a client of the object API.
	 * @param vertx runs the client
	 * @param settings where the object API is and how long to wait for it
	 * @return a new client, to be closed
	 */
	public static HttpObjectStore of(Vertx vertx, PlatformSettings settings) {
		return new HttpObjectStore(Objects.requireNonNull(vertx, "vertx is null"),
				Objects.requireNonNull(settings, "settings is null"));
	}

	/**
	 * Returns the counts of the calls that this client made.
	 * @return live counters
	 */
	public StoreCalls calls() {
		return this.calls;
	}

	@Override
	public CompletableFuture<Optional<Stored>> read(ObjectKey key) {
		return call(StoreVerb.READ, HttpMethod.GET, path(key), Optional.empty()).map((answer) -> {
			if (answer.status() == 404) {
				return Optional.<Stored>empty();
			}
			return Optional.of(ObjectDocuments.stored(key.kind(), answer.require(StoreVerb.READ, key)));
		}).toCompletionStage().toCompletableFuture();
	}

	@Override
	public CompletableFuture<Stored> create(ObjectKey key, Draft draft) {
		Optional<StoreException> refusal = refusal(key, draft);
		if (refusal.isPresent()) {
			return CompletableFuture.failedFuture(refusal.get());
		}
		String path = ObjectDocuments.path(this.settings.namespace(), key.kind());
		return call(StoreVerb.CREATE, HttpMethod.POST, path, Optional.of(ObjectDocuments.document(key, draft)))
			.map((answer) -> ObjectDocuments.stored(key.kind(), answer.require(StoreVerb.CREATE, key)))
			.toCompletionStage()
			.toCompletableFuture();
	}

	@Override
	public CompletableFuture<Stored> update(ObjectKey key, Draft draft, long expected) {
		Optional<StoreException> refusal = refusal(key, draft);
		if (refusal.isPresent()) {
			return CompletableFuture.failedFuture(refusal.get());
		}
		JsonObject document = ObjectDocuments.document(key, draft, expected);
		return call(StoreVerb.UPDATE, HttpMethod.PUT, path(key), Optional.of(document))
			.map((answer) -> ObjectDocuments.stored(key.kind(), answer.require(StoreVerb.UPDATE, key)))
			.toCompletionStage()
			.toCompletableFuture();
	}

	@Override
	public CompletableFuture<Boolean> delete(ObjectKey key, long expected) {
		JsonObject preconditions = new JsonObject().put("resourceVersion", Long.toString(expected));
		JsonObject options = new JsonObject().put("apiVersion", "v1")
			.put("kind", "DeleteOptions")
			.put("preconditions", preconditions);
		return call(StoreVerb.DELETE, HttpMethod.DELETE, path(key), Optional.of(options)).map((answer) -> {
			if (answer.status() == 404) {
				return false;
			}
			answer.require(StoreVerb.DELETE, key);
			return true;
		}).toCompletionStage().toCompletableFuture();
	}

	@Override
	public CompletableFuture<Listing> list(Kind kind, Labels selector) {
		String path = ObjectDocuments.path(this.settings.namespace(), kind) + "?labelSelector="
				+ encoded(ObjectDocuments.selector(selector));
		return call(StoreVerb.LIST, HttpMethod.GET, path, Optional.empty())
			.map((answer) -> ObjectDocuments.listing(kind, answer.require(StoreVerb.LIST, kind.collection())))
			.toCompletionStage()
			.toCompletableFuture();
	}

	@Override
	public Watch watch(Kind kind, Labels selector, long after, Consumer<WatchEvent> events, Runnable ended) {
		String path = ObjectDocuments.path(this.settings.namespace(), kind) + "?watch=true&resourceVersion=" + after
				+ "&timeoutSeconds=" + this.settings.watchTimeout().toSeconds() + "&labelSelector="
				+ encoded(ObjectDocuments.selector(selector));
		this.calls.add(StoreVerb.WATCH);
		HttpWatch watch = new HttpWatch(this.vertx, kind, events, ended, this.calls, this.watches);
		watch.start(this.watchClient, path, this.settings);
		return watch;
	}

	@Override
	public void close() {
		this.client.close();
		this.watchClient.close();
	}

	private Future<Answer> call(StoreVerb verb, HttpMethod method, String path, Optional<JsonObject> body) {
		this.calls.add(verb);
		RequestOptions options = new RequestOptions().setMethod(method)
			.setURI(path)
			.setConnectTimeout(this.settings.connectTimeout().toMillis());
		long askedNanos = System.nanoTime();
		return this.client.request(options).onFailure((failure) -> {
			if (System.nanoTime() - askedNanos >= this.settings.connectTimeout().toNanos()
					&& this.exchanges.get() < this.settings.connections()) {
				endWatches(askedNanos);
			}
		})
			.recover((failure) -> Future.failedFuture(notSent(verb, failure)))
			.compose((request) -> exchange(verb, request, body));
	}

	private Future<Answer> exchange(StoreVerb verb, HttpClientRequest request, Optional<JsonObject> body) {
		Buffer content = body.map(JsonObject::toBuffer).orElseGet(Buffer::buffer);
		this.calls.sent(content.length());
		if (body.isPresent()) {
			request.putHeader("Content-Type", "application/json");
		}
		long sentNanos = System.nanoTime();
		this.exchanges.incrementAndGet();
		return request.send(content)
			.compose(HttpObjectStore::answer)
			.timeout(this.settings.callTimeout().toMillis(), TimeUnit.MILLISECONDS)
			.onComplete((answer) -> this.exchanges.decrementAndGet())
			.onSuccess((answer) -> this.calls.received(answer.body().length()))
			.onFailure((failure) -> {
				request.reset();
				if (failure instanceof TimeoutException) {
					endWatches(sentNanos);
				}
			})
			.recover((failure) -> Future.failedFuture(notAnswered(verb, failure)));
	}

	private static Future<Answer> answer(HttpClientResponse response) {
		return HttpClients.body(response, MAX_ANSWER_BYTES)
			.map((received) -> Answer.of(response.statusCode(), received));
	}

	/**
	 * Ends the watches that were open when a call was sent that got no response, or no
	 * connection in time: events of the same time may be lost as well.
	 * @param sentNanos when the call was sent
	 */
	private void endWatches(long sentNanos) {
		this.watches.stream().filter((watch) -> watch.openSince(sentNanos)).forEach(HttpWatch::end);
	}

	private static StoreException notSent(StoreVerb verb, Throwable failure) {
		return new StoreException(ErrorCode.STORE_UNAVAILABLE,
				verb + " was not sent, no connection: " + failure.getMessage(), failure);
	}

	private static StoreException notAnswered(StoreVerb verb, Throwable failure) {
		ErrorCode code = verb.write() ? ErrorCode.STORE_OUTCOME_UNKNOWN : ErrorCode.STORE_UNAVAILABLE;
		return new StoreException(code, verb + " was not answered: " + failure.getMessage(), failure);
	}

	private static Optional<StoreException> refusal(ObjectKey key, Draft draft) {
		int bytes = draft.bytes();
		return (bytes <= Draft.MAX_BYTES) ? Optional.empty() : Optional.of(new StoreException(ErrorCode.STORE_TOO_LARGE,
				"value of " + key + " has " + bytes + " bytes, over " + Draft.MAX_BYTES));
	}

	private String path(ObjectKey key) {
		return ObjectDocuments.path(this.settings.namespace(), key.kind()) + "/" + key.name();
	}

	private static String encoded(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

	private record Answer(int status, Buffer body, JsonObject document) {

		/**
		 * Reads an answer. One without a length ends with its connection, so whether a
		 * document is whole is known once it has been read.
		 * @param status the HTTP status
		 * @param body the bytes that came
		 * @return the answer
		 * @throws io.vertx.core.json.DecodeException if the document of a success is not
		 * whole
		 */
		static Answer of(int status, Buffer body) {
			return new Answer(status, body, success(status) ? body.toJsonObject() : new JsonObject());
		}

		private static boolean success(int status) {
			return status / 100 == 2;
		}

		JsonObject require(StoreVerb verb, Object what) {
			if (success(this.status)) {
				return this.document;
			}
			throw new StoreException(code(verb), verb + " of " + what + " got status " + this.status);
		}

		private ErrorCode code(StoreVerb verb) {
			if (this.status == 409 || NOT_FOUND_OR_GONE.contains(this.status)) {
				return ErrorCode.STORE_CONFLICT;
			}
			if (this.status == 413) {
				return ErrorCode.STORE_TOO_LARGE;
			}
			if (this.status == 429) {
				return ErrorCode.STORE_RATE_LIMITED;
			}
			boolean effectPossible = verb.write() && this.status >= 500 && this.status != 503;
			return effectPossible ? ErrorCode.STORE_OUTCOME_UNKNOWN : ErrorCode.STORE_UNAVAILABLE;
		}

	}

}

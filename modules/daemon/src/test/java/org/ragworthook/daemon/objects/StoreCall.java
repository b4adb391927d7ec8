package org.ragworthook.daemon.objects;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.Failures;
import org.ragworthook.core.error.StoreException;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.Listing;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.Stored;
import org.ragworthook.daemon.fake.ScriptedServer;
import org.ragworthook.objectapi.HttpObjectStore;
import org.ragworthook.objectapi.ObjectDocuments;
import org.ragworthook.objectapi.PlatformSettings;

/**
 * The calls of the object API.
 */
enum StoreCall {

	READ, CREATE, UPDATE, DELETE, LIST;

	/** The object that the calls are about. */
	static final ObjectKey KEY = ObjectKey.of(Kind.JOB, "programme-1");

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

	/**
	 * Returns the settings of a client with one connection at a time.
	 * @param server the server
	 * @param callTimeout the time for a call
	 * @return the settings
	 */
	static PlatformSettings settings(ScriptedServer server, Duration callTimeout) {
		PlatformSettings defaults = PlatformSettings.of(new Address("127.0.0.1", server.port()));
		return new PlatformSettings(defaults.address(), defaults.namespace(), CONNECT_TIMEOUT, callTimeout,
				defaults.watchTimeout(), 1);
	}

	static String document(long version) {
		return ObjectDocuments.document(new Stored(KEY, version, Draft.of("1", "a#1"))).encode();
	}

	/**
	 * Waits for the end of a call.
	 * @param call the call
	 * @return why it failed, or empty if it did not
	 */
	static Optional<ErrorCode> failure(CompletableFuture<?> call) {
		Throwable failure = call.handle((result, thrown) -> thrown).join();
		return Optional.ofNullable(failure).map((thrown) -> ((StoreException) Failures.root(thrown)).code());
	}

	/**
	 * Returns the body of a sound answer.
	 * @return the document
	 */
	String body() {
		return (this == LIST)
				? ObjectDocuments.document(Kind.JOB, new Listing(List.of(new Stored(KEY, 3, Draft.of("1", "a#1"))), 7))
					.encode()
				: document(3);
	}

	CompletableFuture<?> start(HttpObjectStore store) {
		return switch (this) {
			case READ -> store.read(KEY);
			case CREATE -> store.create(KEY, Draft.of("1", "a#1"));
			case UPDATE -> store.update(KEY, Draft.of("1", "a#1"), 2);
			case DELETE -> store.delete(KEY, 2);
			case LIST -> store.list(Kind.JOB, Labels.empty());
		};
	}

}

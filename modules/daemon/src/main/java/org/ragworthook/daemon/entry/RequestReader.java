package org.ragworthook.daemon.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.UnsafeByteOperations;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.RoutingContext;
import org.apache.commons.codec.digest.MurmurHash3;
import org.ragworthook.core.contract.Account;
import org.ragworthook.core.contract.Contract;
import org.ragworthook.core.contract.Service;
import org.ragworthook.core.contract.ServiceType;
import org.ragworthook.core.error.AccessException;
import org.ragworthook.core.error.ConfigException;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.RequestException;
import org.ragworthook.core.routing.PrefixKey;
import org.ragworthook.daemon.engine.Generation;
import org.ragworthook.wire.message.Run;

/**
 * Reads the requests of callers and checks them against the contract in force.
 */
public final class RequestReader {

	/**
	 * The header with the time in milliseconds within which the caller expects the whole
	 * answer.
	 */
	public static final String DEADLINE_HEADER = "X-Deadline-Millis";

	/** The header with a key that is the same for all resends of a request. */
	public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

	private static final int PROMPT_PREFIX_CHARS = 1024;

	private static final String BEARER_PREFIX = "Bearer ";

	private static final ObjectMapper JSON = new ObjectMapper();

	private final Supplier<Optional<Contract>> contract;

	private final InstantSource clock;

	private RequestReader(Supplier<Optional<Contract>> contract, InstantSource clock) {
		this.contract = Objects.requireNonNull(contract, "contract is null");
		this.clock = Objects.requireNonNull(clock, "clock is null");
	}

	/**
	 * Returns a reader.
	 * @param contract returns the contract in force, or empty if there is none yet
	 * @param clock the wall clock, for the creation times of answers
	 * @return the reader
	 */
	public static RequestReader of(Supplier<Optional<Contract>> contract, InstantSource clock) {
		return new RequestReader(contract, clock);
	}

	/**
	 * Returns the contract in force.
	 * @return the contract
	 * @throws ConfigException if none has been accepted yet
	 */
	public Contract contract() {
		return this.contract.get()
			.orElseThrow(() -> new ConfigException(ErrorCode.CONFIG_ABSENT, "no contract is in force"));
	}

	/**
	 * Returns the account that sent a request.
	 * @param request the request
	 * @return the account
	 * @throws AccessException if the API key is missing or unknown
	 */
	public Account account(HttpServerRequest request) {
		String header = request.getHeader(HttpHeaders.AUTHORIZATION);
		if (header == null || !header.startsWith(BEARER_PREFIX)) {
			throw new AccessException(ErrorCode.ACCESS_UNKNOWN_KEY, "no key was given");
		}
		return contract().accountOfKey(header.substring(BEARER_PREFIX.length()).strip())
			.orElseThrow(() -> new AccessException(ErrorCode.ACCESS_UNKNOWN_KEY, "the key is not known"));
	}

	/**
	 * Reads a text generation request.
	 * @param routing the request with its body
	 * @return the request
	 * @throws RequestException if it is malformed or names an unknown model
	 */
	public OnlineRequest generation(RoutingContext routing) {
		Account account = account(routing.request());
		Buffer body = body(routing);
		JsonNode parsed = parse(body);
		if (!parsed.path("model").isTextual()) {
			throw new RequestException(ErrorCode.REQUEST_MALFORMED, "the body has no text 'model'");
		}
		String model = parsed.get("model").textValue();
		Service service = contract().serviceOfModel(model)
			.orElseThrow(
					() -> new RequestException(ErrorCode.REQUEST_UNKNOWN_MODEL, "model '" + model + "' is not served"));
		boolean chat = routing.request().path().startsWith("/v1/chat/");
		Run.Builder run = run(routing, account, body).setPath(routing.request().path())
			.setStream(parsed.path("stream").asBoolean(false))
			.setRepeatable(service.idempotent(HttpMethod.POST.name(), routing.request().path()))
			.setAnswerId((chat ? "chatcmpl-" : "cmpl-") + UUID.randomUUID().toString().replace("-", ""));
		return new OnlineRequest(account, service, run.build(), timeout(routing.request(), service), model,
				Generation.resumable(parsed, chat), PrefixKey.of(model, prompt(parsed, chat)));
	}

	// Returns enough of the prompt for the blocks that the prefix key hashes.
	private static String prompt(JsonNode body, boolean chat) {
		if (!chat) {
			return body.path("prompt").asText("");
		}
		StringBuilder prompt = new StringBuilder();
		for (JsonNode message : body.path("messages")) {
			if (prompt.length() >= PROMPT_PREFIX_CHARS) {
				break;
			}
			prompt.append(message.path("role").asText("")).append(message.path("content").asText(""));
		}
		return prompt.toString();
	}

	/**
	 * Reads a request to a plain service.
	 * @param routing the request with its body
	 * @param name the name of the service
	 * @param path the path at the service, with the query string
	 * @return the request
	 * @throws RequestException if the service is unknown
	 */
	public OnlineRequest plain(RoutingContext routing, String name, String path) {
		Account account = account(routing.request());
		Service service = contract().service(name)
			.filter((found) -> found.type() == ServiceType.PLAIN)
			.orElseThrow(() -> new RequestException(ErrorCode.REQUEST_UNKNOWN_MODEL,
					"service '" + name + "' is not served"));
		Run.Builder run = run(routing, account, body(routing)).setPath(path)
			.setRepeatable(service.idempotent(routing.request().method().name(), path));
		return new OnlineRequest(account, service, run.build(), timeout(routing.request(), service), "", false,
				OptionalLong.empty());
	}

	private Run.Builder run(RoutingContext routing, Account account, Buffer body) {
		byte[] bytes = body.getBytes();
		HttpServerRequest request = routing.request();
		return Run.newBuilder()
			.setRequest(UUID.randomUUID().toString())
			.setMethod(request.method().name())
			.setContentType(Optional.ofNullable(request.getHeader(HttpHeaders.CONTENT_TYPE)).orElse(""))
			.setBody(UnsafeByteOperations.unsafeWrap(bytes))
			.setCreated(this.clock.instant().getEpochSecond())
			.setAccount(account.name())
			.setFingerprint(fingerprint(request.path(), bytes))
			.setIdempotencyKey(Optional.ofNullable(request.getHeader(IDEMPOTENCY_KEY_HEADER)).orElse(""));
	}

	/**
	 * Returns a hash that is equal for requests with the same path and body.
	 * @param path the path of the request
	 * @param body the body of the request
	 * @return the fingerprint, 32 hexadecimal digits
	 */
	public static String fingerprint(String path, byte[] body) {
		long[] pathHash = MurmurHash3.hash128x64(path.getBytes(StandardCharsets.UTF_8));
		long[] bodyHash = MurmurHash3.hash128x64(body);
		return String.format("%016x%016x", pathHash[0] ^ bodyHash[0], bodyHash[1]);
	}

	private static Buffer body(RoutingContext routing) {
		Buffer body = routing.body().buffer();
		return (body != null) ? body : Buffer.buffer();
	}

	private static JsonNode parse(Buffer body) {
		try {
			JsonNode parsed = JSON.readTree(body.getBytes());
			if (parsed == null || !parsed.isObject()) {
				throw new RequestException(ErrorCode.REQUEST_MALFORMED, "the body is no JSON object");
			}
			return parsed;
		}
		catch (IOException ex) {
			throw new RequestException(ErrorCode.REQUEST_MALFORMED, "the body is not JSON: " + ex.getMessage(), ex);
		}
	}

	private static Duration timeout(HttpServerRequest request, Service service) {
		String header = request.getHeader(DEADLINE_HEADER);
		if (header == null) {
			return service.onlineDeadline();
		}
		try {
			long millis = Long.parseLong(header.strip());
			if (millis > 0 && millis < Integer.MAX_VALUE) {
				return Duration.ofMillis(millis);
			}
		}
		catch (NumberFormatException ex) {
			throw new RequestException(ErrorCode.REQUEST_MALFORMED, DEADLINE_HEADER + " is no number", ex);
		}
		throw new RequestException(ErrorCode.REQUEST_MALFORMED, DEADLINE_HEADER + " is out of range");
	}

}

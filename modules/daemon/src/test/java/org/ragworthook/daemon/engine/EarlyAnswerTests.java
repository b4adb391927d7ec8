package org.ragworthook.daemon.engine;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.ragworthook.daemon.engine.EngineCalls.Kind;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests which answers without a length are whole that an engine sends at once, before it
 * has read the request.
 */
class EarlyAnswerTests {

	private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart";

	/** Small, so that a long request does not fit into the buffers. */
	private static final int RECEIVE_BUFFER_BYTES = 8_192;

	private static EngineCalls calls;

	@BeforeAll
	static void start() {
		calls = new EngineCalls();
	}

	@AfterAll
	static void stop() {
		calls.close();
	}

	/**
	 * Guards against a part of an answer that is taken for the whole because the engine
	 * breaks off while the request is still being written.
	 */
	@ParameterizedTest
	@MethodSource("kindsAndLengths")
	void shouldNotTakeAnEarlyPartForTheWhole(Kind kind, int length, boolean reset) throws IOException {
		assertThat(call(kind, length, reset ? Ending.RESET : Ending.CLOSE).kind()).isEqualTo(CallEnd.Kind.BROKEN);
	}

	static Stream<Arguments> kindsAndLengths() {
		return Stream.of(Kind.values())
			.flatMap((kind) -> Stream.of(20_000, 200_000, 3_000_000, 12_000_000)
				.flatMap((length) -> Stream.of(true, false).map((reset) -> Arguments.of(kind, length, reset))));
	}

	/** Guards against the failure of an engine that answers early and reads on. */
	@ParameterizedTest
	@MethodSource("plainKindsAndLengths")
	void shouldTakeAnEarlyAnswerThatEndsInOrder(Kind kind, int length) throws IOException {
		assertThat(call(kind, length, Ending.HALF_CLOSE_AND_READ))
			.isEqualTo(new EngineCalls.Answer(CallEnd.Kind.ANSWERED, "part"));
	}

	static Stream<Arguments> plainKindsAndLengths() {
		return Stream.of(Kind.PLAIN, Kind.PLAIN_STREAM)
			.flatMap((kind) -> Stream.of(0, 20_000, 200_000).map((length) -> Arguments.of(kind, length)));
	}

	private static EngineCalls.Answer call(Kind kind, int length, Ending ending) throws IOException {
		try (ServerSocket server = new ServerSocket()) {
			server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
			server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
			CompletableFuture<Void> engine = CompletableFuture.runAsync(() -> answerEarly(server, ending));
			EngineCalls.Answer answer = calls.call("http://127.0.0.1:" + server.getLocalPort(), kind,
					"p".repeat(length));
			engine.join();
			return answer;
		}
	}

	private static void answerEarly(ServerSocket server, Ending ending) {
		try (Socket socket = server.accept()) {
			InputStream in = socket.getInputStream();
			in.read();
			socket.getOutputStream().write(ANSWER.getBytes(StandardCharsets.ISO_8859_1));
			switch (ending) {
				case RESET -> socket.setSoLinger(true, 0);
				case HALF_CLOSE_AND_READ -> {
					socket.shutdownOutput();
					in.transferTo(new ByteArrayOutputStream());
				}
				default -> {
				}
			}
		}
		catch (IOException ex) {
			throw new AssertionError("the answer could not be sent", ex);
		}
	}

	/** How the connection ends behind the answer. */
	private enum Ending {

		RESET,

		/** Unread bytes of the request turn this into an end and a reset. */
		CLOSE,

		HALF_CLOSE_AND_READ

	}

}

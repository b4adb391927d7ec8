package org.ragworthook.gateway.job;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.Ticker;

/**
 * An upstream that begins to answer each item and holds it until the test finishes it or
 * crashes the upstream.
 */
final class HoldingUpstream implements AutoCloseable {

	/** The number of events of a complete response. */
	static final int EVENTS = 40;

	private final ServerSocket server;

	private final Ticker ticker;

	private final Start start;

	private final Map<String, Held> held = new LinkedHashMap<>();

	private final List<Socket> open = new ArrayList<>();

	private boolean crashed;

	private HoldingUpstream(ServerSocket server, Ticker ticker, Start start) {
		this.server = server;
		this.ticker = ticker;
		this.start = start;
	}

	/**
	 * Starts an upstream.
	 * @param ticker gives the time at which items are received
	 * @param start what it sends of a response at once
	 * @return the upstream
	 */
	static HoldingUpstream start(Ticker ticker, Start start) {
		try {
			HoldingUpstream upstream = new HoldingUpstream(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()),
					ticker, start);
			Thread acceptor = new Thread(upstream::accept, "holding-upstream");
			acceptor.setDaemon(true);
			acceptor.start();
			return upstream;
		}
		catch (IOException ex) {
			throw new AssertionError(ex);
		}
	}

	Address address() {
		return new Address("127.0.0.1", this.server.getLocalPort());
	}

	/**
	 * Returns whether it sends events before an item is finished.
	 * @return whether it does
	 */
	boolean sendsEvents() {
		return this.start == Start.EVENTS;
	}

	/**
	 * Returns the items that it runs.
	 * @return when each of them was received, readings of the ticker
	 */
	synchronized Map<String, Long> items() {
		Map<String, Long> items = new LinkedHashMap<>();
		this.held.forEach((item, run) -> items.put(item, run.receivedNanos()));
		return items;
	}

	/**
	 * Sends the rest of an item's response.
	 * @param item the item's id
	 */
	synchronized void finish(String item) {
		Held run = this.held.remove(item);
		try {
			String head = (this.start == Start.NOTHING) ? ScriptedUpstream.head(200, "text/event-stream") : "";
			write(run.socket(), head + ScriptedUpstream.events(run.nextEvent(), EVENTS) + ScriptedUpstream.LAST_CHUNK);
			run.socket().close();
		}
		catch (IOException ex) {
			throw new AssertionError(ex);
		}
	}

	/**
	 * Breaks off all runs and accepts no further connection.
	 */
	synchronized void crash() {
		this.crashed = true;
		this.held.clear();
		try {
			this.server.close();
			for (Socket socket : this.open) {
				socket.close();
			}
		}
		catch (IOException ex) {
			throw new AssertionError(ex);
		}
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				opened(socket);
				received(socket, ScriptedUpstream.readHead(socket.getInputStream()));
			}
			catch (IOException ex) {
				// the peer or the test has closed the socket
			}
		}
	}

	private synchronized void opened(Socket socket) throws IOException {
		this.open.add(socket);
		if (this.crashed) {
			socket.close();
		}
	}

	private void received(Socket socket, Optional<ScriptedUpstream.Received> request) throws IOException {
		if (request.isEmpty()) {
			return;
		}
		InputStream in = socket.getInputStream();
		in.readNBytes(request.get().header("content-length").map(Integer::parseInt).orElse(0));
		begin(socket, request.get().header("x-request-id").orElseThrow(),
				request.get().header("last-event-id").map(Integer::parseInt).orElse(0) + 1);
	}

	private synchronized void begin(Socket socket, String item, int firstEvent) throws IOException {
		int next = (this.start == Start.EVENTS) ? Math.min(EVENTS, firstEvent + 2) : firstEvent;
		this.held.put(item, new Held(socket, this.ticker.nanos(), next));
		if (this.start != Start.NOTHING) {
			write(socket,
					ScriptedUpstream.head(200, "text/event-stream") + ScriptedUpstream.events(firstEvent, next - 1));
		}
	}

	private static void write(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
	}

	@Override
	public void close() {
		crash();
	}

	/**
	 * What an upstream sends of a response at once.
	 */
	enum Start {

		NOTHING, HEAD, EVENTS

	}

	private record Held(Socket socket, long receivedNanos, int nextEvent) {
	}

}

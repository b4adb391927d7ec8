package org.ragworthook.daemon.fake;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;

import org.ragworthook.core.fleet.Address;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Hello;
import org.ragworthook.wire.message.Lane;
import org.ragworthook.wire.message.Ping;
import org.ragworthook.wire.message.Run;

/**
 * A fake entry with one link to a sidecar, on a plain socket. Nothing is read from the
 * link but by {@link #next()}.
 */
public final class RawEntry implements AutoCloseable {

	private static final int READ_TIMEOUT_MILLIS = 20_000;

	private static final long HEARTBEAT_NANOS = 500_000_000;

	private final Socket socket;

	private final DataInputStream in;

	private final DataOutputStream out;

	private long sentNanos;

	private RawEntry(Socket socket) throws IOException {
		this.socket = socket;
		this.in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
		this.out = new DataOutputStream(socket.getOutputStream());
	}

	/**
	 * Opens a link for online requests.
	 * @param sidecar where the sidecar takes links
	 * @return the entry
	 * @throws IOException if the sidecar cannot be connected to
	 */
	public static RawEntry connect(Address sidecar) throws IOException {
		Socket socket = new Socket(sidecar.host(), sidecar.port());
		socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		RawEntry entry = new RawEntry(socket);
		entry.send(Frame.newBuilder()
			.setHello(Hello.newBuilder().setProtocol(1).setLane(Lane.LANE_ONLINE).setInstance("raw-entry"))
			.build());
		return entry;
	}

	/**
	 * Sends a request.
	 * @param run the request
	 * @throws IOException if the link is closed
	 */
	public void send(Run run) throws IOException {
		send(Frame.newBuilder().setRun(run).build());
	}

	private void send(Frame frame) throws IOException {
		byte[] bytes = frame.toByteArray();
		this.out.writeInt(bytes.length);
		this.out.write(bytes);
		this.sentNanos = System.nanoTime();
	}

	/**
	 * Keeps the link from being found silent. Called at least every few seconds.
	 * @throws IOException if the link is closed
	 */
	public void heartbeat() throws IOException {
		if (System.nanoTime() - this.sentNanos >= HEARTBEAT_NANOS) {
			send(Frame.newBuilder().setPing(Ping.getDefaultInstance()).build());
		}
	}

	/**
	 * Reads the next frame.
	 * @return the frame
	 * @throws IOException if the link is closed or nothing is received for 20 s
	 */
	public Frame next() throws IOException {
		heartbeat();
		byte[] bytes = new byte[this.in.readInt()];
		this.in.readFully(bytes);
		return Frame.parseFrom(bytes);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}

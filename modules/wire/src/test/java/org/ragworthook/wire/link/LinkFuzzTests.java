package org.ragworthook.wire.link;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Hello;
import org.ragworthook.wire.message.InForce;
import org.ragworthook.wire.message.Lane;
import org.ragworthook.wire.message.Welcome;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against acting on, or buffering without limit, invalid bytes that reach the link
 * port, for example from a port scanner, a newer version or a peer with corrupted memory.
 */
class LinkFuzzTests {

	private static final int MAX_FRAME_BYTES = 4_096;

	private static final String SEED = "20261202";

	private static final LinkOptions OPTIONS = new LinkOptions(Duration.ofSeconds(2), Duration.ofSeconds(6),
			MAX_FRAME_BYTES, Optional.empty());

	@Property(seed = SEED, tries = 1000)
	void shouldDeliverNoFrameBeforeHandshake(@ForAll @Size(max = 300) byte[] bytes) {
		RecordingListener listener = new RecordingListener();
		EmbeddedChannel channel = accepting(listener);
		channel.writeInbound(Unpooled.wrappedBuffer(bytes));
		assertThat(listener.received).isEmpty();
		channel.finishAndReleaseAll();
	}

	@Property(seed = SEED, tries = 1000)
	void shouldTolerateCorruptedFrames(@ForAll @Size(min = 1, max = 12) List<@IntRange(max = 200) Integer> offsets,
			@ForAll byte mask) {
		RecordingListener listener = new RecordingListener();
		EmbeddedChannel channel = accepting(listener);
		channel.writeInbound(withLength(helloFrame()));
		byte[] frame = Frame.newBuilder().setInForce(InForce.newBuilder().setVersion(7)).build().toByteArray();
		for (int offset : offsets) {
			frame[offset % frame.length] ^= mask;
			if (channel.isOpen()) {
				channel.writeInbound(withLength(frame));
			}
		}
		channel.checkException();
		assertThat(listener.received.size()).isAtMost(offsets.size());
		assertThat(listener.opened).isEqualTo(1);
		channel.finishAndReleaseAll();
		assertThat(listener.closed).isEqualTo(1);
	}

	@Test
	void shouldCloseLinkOnOversizedLengthField() {
		RecordingListener listener = new RecordingListener();
		EmbeddedChannel channel = accepting(listener);
		channel.writeInbound(withLength(helloFrame()));
		channel.writeInbound(Unpooled.buffer().writeInt(MAX_FRAME_BYTES + 1));
		assertThat(channel.isOpen()).isFalse();
		assertThat(listener.closed).isEqualTo(1);
	}

	private static EmbeddedChannel accepting(LinkListener listener) {
		EmbeddedChannel channel = new EmbeddedChannel();
		LinkChannels.init(channel, OPTIONS, Optional.empty(),
				LinkHandler.accepting(listener, Welcome::getDefaultInstance));
		return channel;
	}

	private static byte[] helloFrame() {
		Hello hello = Hello.newBuilder()
			.setLane(Lane.LANE_CONTROL)
			.setInstance("a")
			.setRegion("r")
			.setFailureDomain("d")
			.setProtocol(LinkHandler.PROTOCOL)
			.build();
		return Frame.newBuilder().setHello(hello).build().toByteArray();
	}

	private static ByteBuf withLength(byte[] frame) {
		return Unpooled.buffer().writeInt(frame.length).writeBytes(frame);
	}

	private static final class RecordingListener implements LinkListener {

		private final List<Frame> received = new ArrayList<>();

		private int opened;

		private int closed;

		@Override
		public void opened(Link link) {
			this.opened++;
		}

		@Override
		public void received(Link link, Frame frame) {
			this.received.add(frame);
		}

		@Override
		public void closed(Link link) {
			this.closed++;
		}

	}

}

package org.ragworthook.wire.link;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.LinkException;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.wire.message.Welcome;

/**
 * Accepts links from other processes.
 */
public final class LinkServer implements AutoCloseable {

	private static final int BACKLOG = 1024;

	private final Channel channel;

	private final ChannelGroup accepted;

	private LinkServer(Channel channel, ChannelGroup accepted) {
		this.channel = channel;
		this.accepted = accepted;
	}

	/**
	 * Starts listening for links.
	 * @param loops the event loops that run the links
	 * @param address the address to listen on; port 0 selects any free port
	 * @param options the options of the links
	 * @param welcome supplies the handshake response of each link
	 * @param listener called with the events of the links
	 * @return a server that is listening
	 * @throws LinkException if the address cannot be bound
	 */
	public static LinkServer listen(EventLoopGroup loops, Address address, LinkOptions options,
			Supplier<Welcome> welcome, LinkListener listener) {
		Objects.requireNonNull(loops, "loops is null");
		Objects.requireNonNull(listener, "listener is null");
		ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
		ServerBootstrap bootstrap = new ServerBootstrap().group(loops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<>() {

				@Override
				protected void initChannel(Channel child) {
					accepted.add(child);
					LinkChannels.init(child, options,
							options.tls().map((identity) -> identity.server().newHandler(child.alloc())),
							LinkHandler.accepting(listener, welcome));
				}

			});
		try {
			Channel channel = bootstrap.bind(new InetSocketAddress(address.host(), address.port())).sync().channel();
			return new LinkServer(channel, accepted);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new LinkException(ErrorCode.LINK_FAILED, "interrupted while binding " + address, ex);
		}
		catch (Exception ex) {
			throw new LinkException(ErrorCode.SETTINGS_ADDRESS_IN_USE, "cannot listen on " + address, ex);
		}
	}

	/**
	 * Returns the address that this server listens on.
	 * @return the address with its actual port
	 */
	public Address address() {
		InetSocketAddress local = (InetSocketAddress) this.channel.localAddress();
		return new Address(local.getAddress().getHostAddress(), local.getPort());
	}

	@Override
	public void close() {
		this.channel.close().awaitUninterruptibly();
		this.accepted.close().awaitUninterruptibly();
	}

}

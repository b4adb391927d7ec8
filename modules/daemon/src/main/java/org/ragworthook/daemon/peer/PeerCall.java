package org.ragworthook.daemon.peer;

import java.util.concurrent.CompletableFuture;

import com.google.protobuf.ByteString;

/**
 * Answers the calls of one verb from other entries.
 */
@FunctionalInterface
public interface PeerCall {

	/**
	 * Answers a call. Runs on the link's thread, which it must not block.
	 * @param instance the entry that calls
	 * @param body what it sent
	 * @return the answer; a {@code RagworthookException} is passed back with its code
	 */
	CompletableFuture<ByteString> answer(String instance, ByteString body);

}

package org.ragworthook.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete HTTP response, held in memory.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body
 */
public record BufferedResponse(int status, HttpHeaders headers, byte[] body) {
}

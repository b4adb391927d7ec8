package org.ragworthook.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A whole answer.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body
 */
public record HttpAnswer(int status, HttpHeaders headers, byte[] body) {
}

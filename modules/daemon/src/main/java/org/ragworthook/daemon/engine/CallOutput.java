package org.ragworthook.daemon.engine;

/**
 * A piece of an upstream's answer.
 *
 * @param status the HTTP status, the same in each piece
 * @param contentType the type of the content, the same in each piece
 * @param body bytes for the caller
 * @param text generated text
 * @param tokens generated tokens
 */
public record CallOutput(int status, String contentType, byte[] body, String text, int tokens) {
}

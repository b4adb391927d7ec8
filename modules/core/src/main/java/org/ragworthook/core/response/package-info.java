/**
 * Checks of responses that do not depend on a client.
 */
package org.ragworthook.core.response;

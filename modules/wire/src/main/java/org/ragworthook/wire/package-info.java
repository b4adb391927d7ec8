/**
 * What the processes of the system say to each other: messages and the links that carry
 * them.
 */
package org.ragworthook.wire;

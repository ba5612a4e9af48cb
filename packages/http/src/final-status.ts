/**
 * Which status ends an exchange. Node's parser accepts any number of three digits, and a response with one outside the
 * classes of HTTP is no answer that can be passed on or acted on.
 */

/** Whether the status is that of a final response, from 200 to 599. */
export const isFinalStatus = (status: number): boolean => status >= 200 && status <= 599

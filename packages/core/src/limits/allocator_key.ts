/** Rendezvous key that chooses the allocator of a customer. */
export function allocatorKey(customer: string): string {
  return `limit/${customer}`;
}

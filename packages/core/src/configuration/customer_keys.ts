import type {CustomerAccess} from './customer_access.js';

/** Finds the customer that holds a key. */
export interface CustomerKeys {
  findByKey(key: string): CustomerAccess | undefined;
}

/** Indexes the keys of all customers. */
export function createCustomerKeys(customers: CustomerAccess[]): CustomerKeys {
  const byKey = new Map<string, CustomerAccess>();
  for (const customer of customers) {
    for (const key of customer.keys) byKey.set(key, customer);
  }
  return {findByKey: key => byKey.get(key)};
}

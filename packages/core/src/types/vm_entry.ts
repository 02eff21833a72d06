/** One line of the platform's VM list, which lags behind the truth. */
export interface VmEntry {
  address: string;
  failureDomain: string;
  state: 'live' | 'leaving';
}

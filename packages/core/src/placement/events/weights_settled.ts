/** Answer of the weight store; not granted if it refused or failed. */
export interface WeightsSettled {
  kind: 'weights_settled';
  requestId: string;
  granted: boolean;
}

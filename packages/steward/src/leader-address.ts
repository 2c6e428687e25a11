import { addressOf, type AgreementDriver } from "@lentilramp/control";
import type { PeerAddress } from "@lentilramp/protocol";

/** Returns the address of the leader, or undefined if this steward knows of none. */
export function leaderAddress(driver: AgreementDriver): PeerAddress | undefined {
    const { leader, membership } = driver.status;
    const address = addressOf(membership, leader);
    return address === undefined ? undefined : { host: address.host, port: address.port };
}

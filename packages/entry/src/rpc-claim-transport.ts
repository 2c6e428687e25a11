import { type ClaimMessage, type ClaimReplicaAddress, type ClaimReply, ClaimTransport } from "@lentilramp/claims";
import { claimReplySchema, encodeClaimValue, type RpcClient } from "@lentilramp/protocol";

/** Sends claim messages as JSON-RPC; the address of a replica is HOST:PORT. */
export class RpcClaimTransport extends ClaimTransport {
    constructor(private readonly client: RpcClient) {
        super();
    }

    override async send(replica: ClaimReplicaAddress, message: ClaimMessage, deadline: number): Promise<ClaimReply> {
        const split = replica.address.lastIndexOf(":");
        const peer = { host: replica.address.slice(0, split), port: Number(replica.address.slice(split + 1)) };
        const method = `claim.${message.operation.kind}`;
        return await this.client.call(peer, method, encodeClaimValue(message), claimReplySchema, deadline);
    }
}

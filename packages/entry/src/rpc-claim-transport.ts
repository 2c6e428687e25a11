import { type ClaimMessage, type ClaimReplicaAddress, type ClaimReply, ClaimTransport } from "@lentilramp/claims";
import { claimReplySchema, encodeClaimValue, type RpcClient } from "@lentilramp/protocol";

/** Sends claim messages over JSON-RPC. The address of a replica has the form HOST:PORT. */
export class RpcClaimTransport extends ClaimTransport {
    constructor(private readonly client: RpcClient) {
        super();
    }

    override async send(replica: ClaimReplicaAddress, message: ClaimMessage, deadline: number): Promise<ClaimReply> {
        const separator = replica.address.lastIndexOf(":");
        const peer = { host: replica.address.slice(0, separator), port: Number(replica.address.slice(separator + 1)) };
        const method = `claim.${message.operation.kind}`;
        return await this.client.call(peer, method, encodeClaimValue(message), claimReplySchema, deadline);
    }
}

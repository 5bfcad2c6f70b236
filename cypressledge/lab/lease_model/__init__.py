"""The lease's model: small worlds walked through whole, and with each guard taken out."""
